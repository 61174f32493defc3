//! HTTP client with a connection pool.

use core::time::Duration;
use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;

use crate::Buffers;
use crate::Error;
use crate::Pace;
use crate::Quota;
use crate::buffers::Buffer;
use crate::connector::Connector;
use crate::spawner::Spawner;
use crate::timer::Timer;

/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of the head of a response, in bytes. Each connection may buffer this much.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// HTTP/1.1 client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
    connector: Connector,
    /// Maximum number of idle connections to each server.
    max_idle: usize,
    /// Memory for the responses that are read whole.
    buffers: Buffers,
}

impl Client {
    /// Creates a client that reuses idle connections. Opening a connection fails after `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self::build(Connector::new(connect_timeout), usize::MAX)
    }

    /// Creates a client that opens a new connection for each request. Calls that may run at most once need
    /// this: if a reused connection breaks, it is unknown whether the request arrived.
    #[must_use]
    pub fn without_reuse(connect_timeout: Duration) -> Self {
        Self::build(Connector::new(connect_timeout), 0)
    }

    fn build(connector: Connector, max_idle: usize) -> Self {
        let inner = legacy::Client::builder(Spawner)
            .pool_timer(Timer)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(max_idle > 0)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector.clone());
        Self {
            inner,
            connector,
            max_idle,
            buffers: Buffers::new(usize::MAX),
        }
    }

    /// Buffers responses in `buffers`, which other clients may share. Without this, only the size of each response
    /// is limited.
    #[must_use]
    pub fn with_buffers(self, buffers: Buffers) -> Self {
        Self { buffers, ..self }
    }

    /// Opens connections within `quota`, which other clients may share. When it is used up, requests that need a new
    /// connection fail with [`Error::Connect`] of the kind `QuotaExceeded`.
    #[must_use]
    pub fn with_quota(self, quota: Quota) -> Self {
        let connector = Connector {
            quota: Some(quota),
            ..self.connector
        };
        Self {
            buffers: self.buffers,
            ..Self::build(connector, self.max_idle)
        }
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
            Some(Err(error)) if error.is_connect() => Err(Error::Connect(connect_error(&error))),
            Some(Err(error)) => Err(Error::Lost(describe(&error))),
            None => Err(Error::TimedOut),
        }
    }

    /// Sends a request and reads the complete response, with a body of at most `max_bytes`, within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Client::send`] and [`Client::read`].
    pub async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let exchange = async {
            let (head, body) = self.send(request, limit).await?.into_parts();
            let body = self.read(body, max_bytes).await?;
            Ok(Response::from_parts(head, body))
        };
        agatemill_runtime::timeout(limit, exchange)
            .await
            .unwrap_or(Err(Error::TimedOut))
    }

    /// Sends a request, waits for the head of the response for at most `limit`, and reads the body, of at most `max_bytes`,
    /// as long as it arrives at a pace.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`].
    pub async fn fetch_paced(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        pace: Pace,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let (head, mut body) = self.send(request, limit).await?.into_parts();
        let mut buffer = self.buffers.start();
        loop {
            match agatemill_runtime::timeout(
                pace.period,
                fill(&mut buffer, &mut body, pace.bytes, max_bytes),
            )
            .await
            {
                Some(Ok(true)) => return Ok(Response::from_parts(head, buffer.close())),
                Some(Ok(false)) => {}
                Some(Err(error)) => return Err(error),
                None => return Err(Error::TimedOut),
            }
        }
    }

    /// Reads a complete body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] when the body is longer, [`Error::BuffersFull`] when the buffers of this client are full,
    /// and [`Error::Lost`] when the connection breaks before the end of the body.
    pub async fn read(&self, body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
        read_into(&self.buffers, body, max_bytes).await
    }
}

/// Reads a complete body of at most `max_bytes`, for clients of connections without a pool.
///
/// # Errors
///
/// As [`Client::read`], without a limit on the buffers.
pub async fn read(body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    read_into(&Buffers::new(usize::MAX), body, max_bytes).await
}

async fn read_into(
    buffers: &Buffers,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let mut buffer = buffers.start();
    fill(&mut buffer, &mut body, usize::MAX, max_bytes).await?;
    Ok(buffer.close())
}

/// Reads at least `bytes` of a body, or the rest of it. Returns whether the body has ended.
async fn fill(
    buffer: &mut Buffer,
    body: &mut Incoming,
    bytes: usize,
    max_bytes: usize,
) -> Result<bool, Error> {
    let mut received = 0;
    while received < bytes {
        let Some(frame) = body.frame().await else {
            return Ok(true);
        };
        let frame = frame.map_err(|error| Error::Lost(error.to_string()))?;
        if let Some(data) = frame.data_ref() {
            buffer.extend(data, max_bytes)?;
            received += data.len();
        }
    }
    Ok(false)
}

/// The error of a failed connection, with the kind of its innermost I/O error.
fn connect_error(error: &(dyn core::error::Error + 'static)) -> io::Error {
    let sources = core::iter::successors(Some(error), |error| error.source());
    let kinds = sources.filter_map(|source| Some(source.downcast_ref::<io::Error>()?.kind()));
    let kind = kinds.last().unwrap_or(io::ErrorKind::Other);
    io::Error::new(kind, describe(error))
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
