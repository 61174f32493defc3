//! HTTP client for engines.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::Event;
use crate::Failure;
use crate::Order;
use crate::Reply;
use crate::Status;
use crate::Step;
use crate::transfer;

/// Maximum size of the reply to a step: 32,768 positions of 16 KiB activations.
const MAX_REPLY_BYTES: usize = 512 << 20;

/// Maximum size of an exported cache.
const MAX_CACHE_BYTES: usize = 1 << 30;

/// Maximum size of a JSON response.
const MAX_JSON_BYTES: usize = 1 << 20;

/// Client for engines. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: agatemill_http::Client,
}

impl Client {
    /// Creates a client that uses the connections of `http`.
    #[must_use]
    pub fn new(http: agatemill_http::Client) -> Self {
        Self { http }
    }

    /// Runs a step.
    ///
    /// # Errors
    ///
    /// [`Error`]; [`Error::is_not_run`] returns whether the step certainly did not run.
    pub async fn step(
        &self,
        engine: SocketAddr,
        step: &Step,
        limit: Duration,
    ) -> Result<Reply, Error> {
        let request = post(engine, "/v1/step", MESSAGE_PACK, to_message_pack(step)?)?;
        from_message_pack(&self.fetch(request, limit, MAX_REPLY_BYTES).await?)
    }

    /// Ends a session. A session that the engine does not have counts as ended.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn cancel(
        &self,
        engine: SocketAddr,
        name: &transfer::Name,
        limit: Duration,
    ) -> Result<(), Error> {
        let request = post(engine, "/v1/cancel", JSON, to_json(name)?)?;
        self.fetch(request, limit, MAX_JSON_BYTES).await.map(drop)
    }

    /// Reads the KV cache of a session.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn export(
        &self,
        engine: SocketAddr,
        name: &transfer::Name,
        limit: Duration,
    ) -> Result<transfer::Cache, Error> {
        let request = post(engine, "/v1/export", JSON, to_json(name)?)?;
        from_message_pack(&self.fetch(request, limit, MAX_CACHE_BYTES).await?)
    }

    /// Creates a session from an exported KV cache.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn import(
        &self,
        engine: SocketAddr,
        cache: &transfer::Cache,
        limit: Duration,
    ) -> Result<(), Error> {
        let request = post(engine, "/v1/import", MESSAGE_PACK, to_message_pack(cache)?)?;
        self.fetch(request, limit, MAX_JSON_BYTES).await.map(drop)
    }

    /// Queries the state and load of an engine.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn status(&self, engine: SocketAddr, limit: Duration) -> Result<Status, Error> {
        self.get(engine, "/v1/status", limit).await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn order(
        &self,
        engine: SocketAddr,
        order: &Order,
        limit: Duration,
    ) -> Result<(), Error> {
        let request = post(engine, "/v1/orders", JSON, to_json(order)?)?;
        self.fetch(request, limit, MAX_JSON_BYTES).await.map(drop)
    }

    /// Reads the prefix cache events with a number above `after`.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn events(
        &self,
        engine: SocketAddr,
        after: u64,
        limit: Duration,
    ) -> Result<Vec<Event>, Error> {
        self.get(engine, &format!("/v1/events?after={after}"), limit)
            .await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        engine: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<T, Error> {
        let request = build(Method::GET, engine, path, JSON, Vec::new())?;
        let body = self.fetch(request, limit, MAX_JSON_BYTES).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Sends a request and returns the body of a successful response.
    async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Bytes, Error> {
        let response = self.http.fetch(request, limit, max_bytes).await?;
        let status = response.status();
        let body = response.into_body();
        if status == StatusCode::OK {
            return Ok(body);
        }
        match serde_json::from_slice::<Failure>(&body) {
            Ok(failure) => Err(Error::Refused(failure)),
            Err(_) => Err(Error::Malformed(format!(
                "status {status} without an error code"
            ))),
        }
    }
}

const JSON: &str = "application/json";
const MESSAGE_PACK: &str = "application/msgpack";

fn post(
    engine: SocketAddr,
    path: &str,
    kind: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, Error> {
    build(Method::POST, engine, path, kind, body)
}

fn build(
    method: Method,
    engine: SocketAddr,
    path: &str,
    kind: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(format!("http://{engine}{path}"))
        .header("content-type", kind)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| not_sent(&error))
}

/// Maps an error in building a request to [`Error::Connect`], because the request was never sent.
fn not_sent(error: &dyn core::error::Error) -> Error {
    Error::Connect(agatemill_http::Error::Connect(io::Error::other(
        error.to_string(),
    )))
}

fn to_message_pack(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec_named(value).map_err(|error| not_sent(&error))
}

fn to_json(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| not_sent(&error))
}

fn from_message_pack<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
