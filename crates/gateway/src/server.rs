//! HTTP servers of the gateway.

use core::convert::Infallible;
use core::future::Future;
use core::net::SocketAddrV4;
use core::pin::pin;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use futures::future;
use futures::future::Either;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt;
use smol::channel;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::Error;
use crate::State;
use crate::connections::Connections;
use crate::connections::Guard;
use crate::directory;
use crate::exchange;
use crate::idle;
use crate::intake;
use crate::purpose::Purpose;
use crate::response;
use crate::response::Body;
use crate::socket::Socket;
use crate::state::Stage;
use crate::supervise;
use crate::table::Phase;
use agatemill_adapter::path;
use agatemill_http::Inflow;
use agatemill_http::Overhead;

/// Backoff after an `accept` error, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Size of the send buffer of a connection in bytes, which the kernel doubles. Without it the kernel keeps up to 4 MB for a
/// caller that does not read. A link with a round trip of 5 ms still carries 25 MB/s.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Size up to which request heads are read whatever the limit was when their connection was opened, in bytes. The limit in
/// force is checked for each request.
const READ_HEAD_BYTES: usize = 32 << 10;

/// Time from the opening of a connection in which its first request may begin while the process exits: many round trips.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// A listener with its open connections. Clones share both.
#[derive(Clone, Debug)]
pub struct Listener {
    socket: TcpListener,
    connections: Arc<Connections>,
}

impl Listener {
    /// Creates the listener of a socket, without connections.
    #[must_use]
    pub fn new(state: &Arc<State>, socket: TcpListener, purpose: Purpose) -> Self {
        Self {
            socket,
            connections: Connections::new(Arc::clone(state), purpose),
        }
    }

    /// Accepts the next connection for which there is room. Others are closed, or wait in the accept queue of the kernel.
    pub async fn accept(&self) -> (TcpStream, Guard) {
        loop {
            // Accepting does not wait while connections are at hand.
            smol::future::yield_now().await;
            match self.socket.accept().await {
                Ok((stream, peer)) => {
                    if let Some(guard) = self.connections.admit(peer.ip()).await {
                        return (stream, guard);
                    }
                }
                Err(error) => {
                    log::warn!(error:%; "server: cannot accept a connection");
                    agatemill_runtime::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }
}

/// Binds a listener.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn listen(address: SocketAddrV4) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

/// Serves callers until the process ends.
pub async fn serve_callers(state: Arc<State>, listener: Listener) {
    accept(&state, listener, |state, request| async move {
        let mut response = exchange::handle(&state, request).await;
        if state.stage() != Stage::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    })
    .await;
}

/// Serves readiness checks until the process ends.
pub async fn serve_ready(state: Arc<State>, listener: Listener) {
    accept(&state, listener, |state, request| async move {
        let status = match request.uri().path() {
            path::READY if state.is_ready() => StatusCode::OK,
            path::READY => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        response::with_body(status, "text/plain", Bytes::new())
    })
    .await;
}

/// Serves address lookups of callers until the process ends.
pub async fn serve_directory(state: Arc<State>, listener: Listener) {
    accept(&state, listener, |state, request| async move {
        match request.uri().path() {
            path::RESOLVE => directory::resolve(&state),
            _ => response::with_body(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    })
    .await;
}

/// Serves metrics until the process ends.
pub async fn serve_metrics(state: Arc<State>, listener: Listener) {
    accept(&state, listener, |state, _| async move {
        match state.metrics.export() {
            Ok(text) => response::with_body(StatusCode::OK, "text/plain", Bytes::from(text)),
            Err(error) => {
                log::error!(error:%; "metrics: cannot export");
                response::with_body(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "text/plain",
                    Bytes::new(),
                )
            }
        }
    })
    .await;
}

async fn accept<F>(
    state: &Arc<State>,
    listener: Listener,
    respond: impl Fn(Arc<State>, Request<agatemill_http::Body>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let (stream, guard) = listener.accept().await;
        let open = state.track_connection();
        let connection = serve_connection(Arc::clone(state), stream, guard, respond.clone());
        let state = Arc::clone(state);
        let task = async move {
            supervise::contain(&state.metrics, "server", connection).await;
            drop(open);
        };
        agatemill_runtime::spawn(task).detach();
    }
}

async fn serve_connection<F>(
    state: Arc<State>,
    stream: TcpStream,
    guard: Guard,
    respond: impl Fn(Arc<State>, Request<agatemill_http::Body>) -> F,
) where
    F: Future<Output = Response<Body>>,
{
    // Events are small writes that must be sent at once. Setting an option fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    let _ = sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
    let limits = state.limits();
    let peer = stream.peer_addr().ok().map(|address| address.ip());
    let overhead = Overhead::default();
    let (begun, first_request) = channel::bounded(1);
    let service = service_fn(|mut request: Request<Incoming>| {
        if let Some(peer) = peer {
            request.extensions_mut().insert(intake::Peer(peer));
        }
        guard.set_phase(Phase::Busy);
        // Fails after the first request, which is enough.
        let _ = begun.try_send(());
        let request = request.map(|body| agatemill_http::Body::new(body, overhead.clone()));
        let response = respond(Arc::clone(&state), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    // The library's header timeout also covers the time in which a connection is idle; the timer tells them apart.
    let socket = Inflow::new(Socket::new(&state, stream, &guard), overhead.clone());
    let connection = http1::Builder::new()
        .timer(idle::Timer::new(&state, &guard))
        .header_read_timeout(limits.idle)
        // Otherwise a response is copied into a buffer that the connection keeps.
        .writev(true)
        .max_buf_size(limits.header_bytes.max(READ_HEAD_BYTES))
        .serve_connection(FuturesIo::new(socket), service);
    let connection = pin!(connection);
    let opened = agatemill_runtime::now();
    let ending = async {
        state.ending().await;
        // A caller that has just connected is told that its request did not run.
        let open_for = agatemill_runtime::now().saturating_sub(opened);
        let left = FIRST_REQUEST_TIME.saturating_sub(open_for);
        agatemill_runtime::timeout(left, first_request.recv()).await;
        true
    };
    let closing = async {
        guard.closing().await;
        false
    };
    let end = pin!(smol::future::or(ending, closing));
    let result = match future::select(connection, end).await {
        Either::Left((result, _)) => result,
        Either::Right((true, mut connection)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        // No request is in progress.
        Either::Right((false, _)) => return,
    };
    if overhead.is_exceeded() {
        guard.set_reason("framing");
    }
    if let Err(error) = result {
        log::debug!(error:%; "server: connection failed");
    }
}
