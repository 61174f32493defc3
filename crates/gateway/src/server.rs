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
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::Counter;
use crate::Error;
use crate::State;
use crate::directory;
use crate::exchange;
use crate::idle;
use crate::response;
use crate::response::Body;
use crate::state::Stage;
use crate::supervise;
use agatemill_adapter::path;

/// Backoff after an `accept` error, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Size up to which request heads are read whatever the limit was when their connection was opened, in bytes. The limit in
/// force is checked for each request.
const READ_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of connections per listener. A connection takes about 20 KB, so these fit
/// beside the bodies in transit into a host of 260 MB; further callers wait in the kernel's accept queue.
const MAX_CONNECTIONS: usize = 2_500;

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
pub async fn serve_callers(state: Arc<State>, listener: TcpListener) {
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
pub async fn serve_ready(state: Arc<State>, listener: TcpListener) {
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
pub async fn serve_directory(state: Arc<State>, listener: TcpListener) {
    accept(&state, listener, |state, request| async move {
        match request.uri().path() {
            path::RESOLVE => directory::resolve(&state),
            _ => response::with_body(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    })
    .await;
}

/// Serves metrics until the process ends.
pub async fn serve_metrics(state: Arc<State>, listener: TcpListener) {
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
    listener: TcpListener,
    respond: impl Fn(Arc<State>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
) where
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open = Counter::default();
    loop {
        if open.get() >= MAX_CONNECTIONS {
            agatemill_runtime::sleep(ACCEPT_BACKOFF).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let guards = (open.track(), state.track_connection());
                let connection = serve_connection(Arc::clone(state), stream, respond.clone());
                let state = Arc::clone(state);
                let task = async move {
                    supervise::contain(&state.metrics, "server", connection).await;
                    drop(guards);
                };
                agatemill_runtime::spawn(task).detach();
            }
            Err(error) => {
                log::warn!(error:%; "server: cannot accept a connection");
                agatemill_runtime::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection<F>(
    state: Arc<State>,
    stream: TcpStream,
    respond: impl Fn(Arc<State>, Request<Incoming>) -> F,
) where
    F: Future<Output = Response<Body>>,
{
    // Events are small writes that must be sent at once. Setting the option fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    let limits = state.limits();
    let service = service_fn(|request| {
        let response = respond(Arc::clone(&state), request);
        async { Ok::<_, Infallible>(response.await) }
    });
    // The library's header timeout also covers the time in which a connection is idle.
    let connection = http1::Builder::new()
        .timer(idle::Timer::new(&state))
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header_bytes.max(READ_HEAD_BYTES))
        .serve_connection(FuturesIo::new(stream), service);
    let connection = pin!(connection);
    let result = match future::select(connection, pin!(state.ending())).await {
        Either::Left((result, _)) => result,
        Either::Right(((), mut connection)) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:%; "server: connection failed");
    }
}
