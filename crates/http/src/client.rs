//! HTTP client with a connection pool.

use core::fmt;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::Extensions;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::CaptureConnection;
use hyper_util::client::legacy::connect::capture_connection;

use crate::Body;
use crate::Buffers;
use crate::Error;
use crate::Invalid;
use crate::Overhead;
use crate::Pace;
use crate::Quota;
use crate::buffers::Buffer;
use crate::closer::Closer;
use crate::connector::Connector;
use crate::invalid;
use crate::spawner::Spawner;
use crate::timer::Timer;

/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of the head of a response, in bytes. Each connection may buffer this much.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of interim responses to a request: far more than servers send to show progress. The HTTP library skips
/// any number of them.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// HTTP/1.1 client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
    connector: Connector,
    /// Maximum number of idle connections to each server.
    max_idle: usize,
    /// Memory for the responses that are read whole.
    buffers: Buffers,
    /// Called for each request whose response is none.
    observer: Observer,
}

/// Receives the authority of the server and what it sent in place of a response.
type Observer = Arc<dyn Fn(&str, &Invalid) + Send + Sync>;

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = f.debug_struct("Client");
        text.field("buffers", &self.buffers).finish_non_exhaustive()
    }
}

/// Interim responses to one request.
#[derive(Debug)]
struct Interim {
    count: AtomicU32,
    /// The connection of the request.
    connection: CaptureConnection,
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
            // Otherwise a request is copied into a buffer that its connection keeps while it is idle.
            .http1_writev(true)
            .build(connector.clone());
        Self {
            inner,
            connector,
            max_idle,
            buffers: Buffers::new(usize::MAX),
            observer: Arc::new(|_, _| {}),
        }
    }

    /// Calls `observer` with the authority of the server and the fault, for each request whose response is none.
    #[must_use]
    pub fn with_observer(self, observer: impl Fn(&str, &Invalid) + Send + Sync + 'static) -> Self {
        Self {
            observer: Arc::new(observer),
            ..self
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
            observer: self.observer,
            ..Self::build(connector, self.max_idle)
        }
    }

    /// Sends a request and waits for the head of the response for at most `limit`. Its status is final.
    ///
    /// The authority of the URI must be an IP address with a port.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when the server cannot have received the request, otherwise [`Error::Invalid`], [`Error::Lost`] or
    /// [`Error::TimedOut`].
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Body>, Error> {
        let authority = request.uri().authority().cloned();
        let interim = Arc::new(Interim {
            count: AtomicU32::new(0),
            connection: capture_connection(&mut request),
        });
        let counted = Arc::clone(&interim);
        hyper::ext::on_informational(&mut request, move |_| counted.record());
        let result = match agatemill_runtime::timeout(limit, self.inner.request(request)).await {
            Some(result) => check(result, &interim),
            None => Err(Error::TimedOut),
        };
        if let Err(Error::Invalid(fault)) = &result {
            let server = authority
                .as_ref()
                .map_or("", |authority| authority.as_str());
            (self.observer)(server, fault);
        }
        result
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
    pub async fn read(&self, body: Body, max_bytes: usize) -> Result<Bytes, Error> {
        read_into(&self.buffers, body, max_bytes).await
    }
}

impl Interim {
    /// Counts one, and closes the connection after the maximum.
    fn record(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
            self.close_connection();
        }
    }

    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    fn close_connection(&self) {
        let mut extras = Extensions::new();
        if let Some(connection) = self.connection.connection_metadata().as_ref() {
            connection.get_extras(&mut extras);
        }
        if let Some(closer) = extras.remove::<Closer>() {
            closer.close();
        }
    }
}

/// Passes on a response whose status is final, and closes the connection of another one.
fn check(
    result: Result<Response<Incoming>, legacy::Error>,
    interim: &Interim,
) -> Result<Response<Body>, Error> {
    match result {
        Ok(mut response) => {
            response.extensions_mut().remove::<Closer>();
            let overhead = response.extensions_mut().remove::<Overhead>();
            if invalid::is_final(response.status()) {
                let overhead = overhead.unwrap_or_default();
                return Ok(response.map(|body| Body::new(body, overhead)));
            }
            interim.close_connection();
            Err(Error::Invalid(Invalid::Status(response.status().as_u16())))
        }
        Err(error) if error.is_connect() => Err(Error::Connect(connect_error(&error))),
        Err(error) if is_unreadable(&error) => Err(Error::Invalid(Invalid::Head(describe(&error)))),
        Err(_) if interim.count() > 0 => Err(Error::Invalid(Invalid::Interim(interim.count()))),
        Err(error) => Err(Error::Lost(describe(&error))),
    }
}

/// Whether a request failed because the head of its response cannot be read.
fn is_unreadable(error: &legacy::Error) -> bool {
    let source = core::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_parse)
}

/// Reads a complete body of at most `max_bytes`, for clients of connections without a pool.
///
/// # Errors
///
/// As [`Client::read`], without a limit on the buffers.
pub async fn read(body: Body, max_bytes: usize) -> Result<Bytes, Error> {
    read_into(&Buffers::new(usize::MAX), body, max_bytes).await
}

async fn read_into(buffers: &Buffers, mut body: Body, max_bytes: usize) -> Result<Bytes, Error> {
    let mut buffer = buffers.start();
    fill(&mut buffer, &mut body, usize::MAX, max_bytes).await?;
    Ok(buffer.close())
}

/// Reads at least `bytes` of a body, or the rest of it. Returns whether the body has ended.
async fn fill(
    buffer: &mut Buffer,
    body: &mut Body,
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
