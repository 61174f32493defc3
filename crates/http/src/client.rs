//! HTTP client with a connection pool.

use core::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;

use crate::Error;
use crate::connector::Connector;
use crate::spawner::Spawner;

/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP/1.1 client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that reuses idle connections. Opening a connection fails after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, usize::MAX)
    }

    /// Creates a client that opens a new connection for each request. Calls that may run at most once need
    /// this: if a reused connection breaks, it is unknown whether the request arrived.
    #[must_use]
    pub fn without_reuse(connect_timeout: Duration) -> Self {
        Self::build(connect_timeout, 0)
    }

    fn build(timeout: Duration, max_idle: usize) -> Self {
        let inner = legacy::Client::builder(Spawner)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(max_idle > 0)
            .build(Connector { timeout });
        Self { inner }
    }

    /// Sends a request and waits for the head of the response for at most `limit`.
    ///
    /// The authority of the URI must be an IP address with a port.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when the server cannot have received the request, otherwise [`Error::Lost`] or
    /// [`Error::TimedOut`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        match agatemill_runtime::timeout(limit, self.inner.request(request)).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) if error.is_connect() => Err(Error::Connect(describe(&error))),
            Some(Err(error)) => Err(Error::Lost(describe(&error))),
            None => Err(Error::TimedOut),
        }
    }

    /// Sends a request and reads the complete response, with a body of at most `max_bytes`, within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::TooLarge`].
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let (head, body) = self.send(request, limit).await?.into_parts();
            let body = read(body, max_bytes).await?;
            Ok(Response::from_parts(head, body))
        };
        agatemill_runtime::timeout(limit, exchange)
            .await
            .unwrap_or(Err(Error::TimedOut))
    }
}

/// Reads a complete body of at most `max_bytes`.
///
/// # Errors
///
/// [`Error::TooLarge`] when the body is longer and [`Error::Lost`] when the connection breaks before its end.
pub async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Error::TooLarge { limit: max_bytes }),
        Err(error) => Err(Error::Lost(error.to_string())),
    }
}

/// Formats an error with all its sources, because hyper's `Display` text covers only the outermost error.
fn describe(error: &dyn core::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
