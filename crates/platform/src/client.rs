//! Client of the key-value service.

use core::net::SocketAddr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Entry;
use crate::Error;
use crate::Lease;
use crate::Swap;
use crate::Watch;
use crate::gateway;
use agatemill_core::number::Revision;

/// Maximum size of a response: several values of 1 MB in base64, as listings return.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// gRPC status code "not found", returned for an expired lease.
const NOT_FOUND: u32 = 5;

/// gRPC status code "canceled", which the gateway returns with a client error status although the call may
/// have been applied.
const CANCELED: u32 = 1;

/// Client of the key-value service. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: agatemill_http::Client,
    addresses: Arc<[SocketAddr]>,
    /// Index of the address in use, modulo the number of addresses; incremented to fail over to the next.
    current: Arc<AtomicUsize>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the service at `addresses`, all of which serve the same store. Each call times
    /// out after `timeout`.
    ///
    /// # Panics
    ///
    /// Panics when `addresses` is empty; settings are validated earlier.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], timeout: Duration) -> Self {
        assert!(
            !addresses.is_empty(),
            "the platform needs at least one address"
        );
        Self {
            http: agatemill_http::Client::new(timeout),
            addresses: addresses.into(),
            current: Arc::default(),
            timeout,
        }
    }

    /// The timeout of each call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the service does not respond, [`Error::Malformed`] when its response
    /// cannot be decoded.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let range = gateway::Range {
            key: gateway::encode(key.as_bytes()),
            ..Default::default()
        };
        let answer: gateway::RangeAnswer = self.call_read_only("/v3/kv/range", &range).await?;
        answer
            .kvs
            .into_iter()
            .next()
            .map(Entry::try_from)
            .transpose()
    }

    /// Reads the revision of a key's last change without its value; `None` when the key is absent.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn revision(&self, key: &str) -> Result<Option<Revision>, Error> {
        let range = gateway::Range {
            key: gateway::encode(key.as_bytes()),
            keys_only: true,
            ..Default::default()
        };
        let answer: gateway::RangeAnswer = self.call_read_only("/v3/kv/range", &range).await?;
        let found = answer.kvs.into_iter().next().map(Entry::try_from);
        Ok(found.transpose()?.map(|entry| entry.revision))
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let range = gateway::Range {
            key: gateway::encode(prefix.as_bytes()),
            range_end: gateway::encode(&gateway::range_end(prefix.as_bytes())),
            ..Default::default()
        };
        let answer: gateway::RangeAnswer = self.call_read_only("/v3/kv/range", &range).await?;
        answer.kvs.into_iter().map(Entry::try_from).collect()
    }

    /// Writes a key if its revision is `expected`; a revision of 0 means that the key must be absent.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when nothing was written, [`Error::Uncertain`] when the value may have been
    /// written, [`Error::LeaseExpired`] when the lease does not exist.
    pub async fn swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        let key = gateway::encode(key.as_bytes());
        let compare = gateway::Compare {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key: key.clone(),
            mod_revision: expected.to_string(),
        };
        let put = gateway::Put {
            key: key.clone(),
            value: gateway::encode(value),
            lease: lease.map(|lease| lease.to_string()).unwrap_or_default(),
        };
        let range = gateway::Range {
            key,
            ..Default::default()
        };
        let transaction = gateway::Transaction {
            compare: vec![compare],
            success: vec![gateway::Operation {
                request_put: Some(put),
                ..Default::default()
            }],
            failure: vec![gateway::Operation {
                request_range: Some(range),
                ..Default::default()
            }],
        };
        let answer: gateway::TransactionAnswer = self.call("/v3/kv/txn", &transaction).await?;
        if answer.succeeded {
            return Ok(Swap::Done(Revision(parse_number(&answer.header.revision)?)));
        }
        let ranges = answer
            .responses
            .into_iter()
            .filter_map(|response| response.response_range);
        let found = ranges.flat_map(|range| range.kvs).next();
        Ok(Swap::Conflict(found.map(Entry::try_from).transpose()?))
    }

    /// Creates a lease that expires after `ttl`, in whole seconds, unless it is renewed.
    ///
    /// # Errors
    ///
    /// As [`Client::swap`].
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let ttl = ttl.as_secs().max(1).to_string();
        let request = gateway::LeaseRequest {
            id: "0".to_owned(),
            ttl,
        };
        let answer: gateway::LeaseAnswer = self.call("/v3/lease/grant", &request).await?;
        Ok(Lease(parse_number(&answer.id)?))
    }

    /// Renews a lease for the `ttl` with which it was granted.
    ///
    /// # Errors
    ///
    /// As [`Client::swap`]; [`Error::LeaseExpired`] when the lease has expired.
    pub async fn renew(&self, lease: Lease) -> Result<(), Error> {
        let request = gateway::LeaseRequest {
            id: lease.to_string(),
            ..Default::default()
        };
        let answer: gateway::Line<gateway::LeaseAnswer> =
            self.call("/v3/lease/keepalive", &request).await?;
        match answer.result.ttl.as_str() {
            "" | "0" => Err(Error::LeaseExpired),
            _ => Ok(()),
        }
    }

    /// Revokes a lease, which deletes its keys immediately.
    ///
    /// # Errors
    ///
    /// As [`Client::swap`].
    pub async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        let request = gateway::LeaseRequest {
            id: lease.to_string(),
            ..Default::default()
        };
        let _: serde_json::Value = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches a key for changes starting at revision `from`; 0 means only future changes.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the watch cannot be opened.
    pub async fn watch(&self, key: &str, from: Revision) -> Result<Watch, Error> {
        let start_revision = if from == Revision(0) {
            String::new()
        } else {
            from.to_string()
        };
        let create_request = gateway::WatchCreate {
            key: gateway::encode(key.as_bytes()),
            start_revision,
            ..Default::default()
        };
        let request = self.request("/v3/watch", &gateway::WatchRequest { create_request });
        let response = self
            .http
            .send(request, self.timeout)
            .await
            .map_err(|error| uncertain_to_unavailable(self.fail_over(&error)))?;
        if !response.status().is_success() {
            return Err(Error::Unavailable(format!(
                "watch returned {}",
                response.status()
            )));
        }
        Ok(Watch::new(response.into_body()))
    }

    /// Sends a read-only call, which is without effect even if its response is lost.
    async fn call_read_only<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        self.call(path, body)
            .await
            .map_err(uncertain_to_unavailable)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let request = self.request(path, body);
        let answer = self
            .http
            .fetch(request, self.timeout, MAX_RESPONSE_BYTES)
            .await;
        let answer = answer.map_err(|error| self.fail_over(&error))?;
        if answer.status().is_success() {
            return serde_json::from_slice(answer.body())
                .map_err(|error| Error::Malformed(error.to_string()));
        }
        let failure: gateway::Failure = serde_json::from_slice(answer.body()).unwrap_or_default();
        let text = format!("{path} returned {}: {}", answer.status(), failure.message);
        match failure.code {
            NOT_FOUND => Err(Error::LeaseExpired),
            CANCELED => Err(Error::Uncertain(text)),
            // Code 14 ("unavailable") has status 503 and is uncertain: the service also returns it for a
            // write that was applied after the service's own timeout.
            _ if answer.status().is_client_error() => Err(Error::Unavailable(text)),
            _ => Err(Error::Uncertain(text)),
        }
    }

    fn request(&self, path: &str, body: &impl Serialize) -> Request<Full<Bytes>> {
        let index = self.current.load(Ordering::Relaxed) % self.addresses.len();
        let body = serde_json::to_vec(body).expect("gateway messages are always valid JSON");
        Request::post(format!("http://{}{path}", self.addresses[index]))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("an IP address and a fixed path make a valid URI")
    }

    /// Fails over to the next address, and converts an HTTP error to an error of this crate.
    fn fail_over(&self, error: &agatemill_http::Error) -> Error {
        self.current.fetch_add(1, Ordering::Relaxed);
        if error.is_not_sent() {
            Error::Unavailable(error.to_string())
        } else {
            Error::Uncertain(error.to_string())
        }
    }
}

impl TryFrom<gateway::KeyValue> for Entry {
    type Error = Error;

    fn try_from(wire: gateway::KeyValue) -> Result<Self, Error> {
        let base64 = || Error::Malformed("a key or value is not base64".to_owned());
        let key = gateway::decode(&wire.key).ok_or_else(base64)?;
        let value = gateway::decode(&wire.value).ok_or_else(base64)?;
        let key = String::from_utf8(key).map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Self {
            key,
            value,
            revision: Revision(parse_number(&wire.mod_revision)?),
        })
    }
}

/// Converts the error of a read-only call, which has no effect whether it arrived or not.
fn uncertain_to_unavailable(error: Error) -> Error {
    match error {
        Error::Uncertain(text) => Error::Unavailable(text),
        other => other,
    }
}

fn parse_number<T: core::str::FromStr>(text: &str) -> Result<T, Error> {
    text.parse()
        .map_err(|_| Error::Malformed(format!("{text:?} is not a number")))
}
