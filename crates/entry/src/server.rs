//! HTTP server for callers.

use core::convert::Infallible;
use core::pin::pin;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::SmolTimer;

use crate::connection::Io;
use crate::connection::Tracker;
use crate::exchange;
use crate::problem;
use crate::problem::Problem;
use crate::state::State;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_http::Body;
use agatemill_http::Overhead;
use agatemill_runtime::Turn;

/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How long the listener waits for further connections from its backlog before it closes; closing it resets the
/// connections that are left there.
const BACKLOG_WAIT: Duration = Duration::from_millis(50);

/// How long an idle connection stays open after the shutdown starts to close connections, so that a request in
/// transit on it gets a response.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Time limit for writing the last response, and again for discarding what the caller still sends.
const LINGER_LIMIT: Duration = Duration::from_secs(1);

/// Accepts connections until the shutdown closes them.
pub async fn serve(state: Arc<State>, listener: TcpListener) {
    loop {
        let closing = async {
            state.progress.wait_for_close().await;
            None
        };
        let accepted = smol::future::or(closing, async { Some(listener.accept().await) }).await;
        match accepted {
            Some(connection) => handle_accepted(&state, connection.map(|(stream, _)| stream)).await,
            None => break,
        }
    }
    while let Some(Ok((stream, _))) =
        agatemill_runtime::timeout(BACKLOG_WAIT, listener.accept()).await
    {
        handle_accepted(&state, Ok(stream)).await;
    }
}

async fn handle_accepted(state: &Arc<State>, connection: io::Result<TcpStream>) {
    match connection {
        Ok(stream) => {
            let guard = state.progress.add_connection();
            let state = Arc::clone(state);
            let task = async move {
                serve_connection(state, stream).await;
                drop(guard);
            };
            agatemill_runtime::spawn(task).detach();
            // Accepting does not wait while connections are at hand.
            smol::future::yield_now().await;
        }
        Err(error) => {
            log::warn!(error:%; "entry: failed to accept a connection");
            agatemill_runtime::sleep(ACCEPT_BACKOFF).await;
        }
    }
}

async fn serve_connection(state: Arc<State>, stream: TcpStream) {
    // Tokens are small writes that must be sent without delay. Fails only on a closed connection.
    let _ = stream.set_nodelay(true);
    let tracker = Arc::new(Tracker::default());
    let limits = &state.settings.limits;
    let overhead = Overhead::default();
    let service = service_fn(|request: Request<Incoming>| {
        tracker.record_head();
        let request = request.map(|body| Body::new(body, overhead.clone()));
        let state = Arc::clone(&state);
        async move {
            let progress = Arc::clone(&state.progress);
            let mut response = exchange::handle(state, request).await;
            if progress.is_closing() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let io = Io::new(
        stream.clone(),
        overhead.clone(),
        Arc::clone(&tracker),
        limits.stall_time.to_duration(),
    );
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_time.to_duration())
        .max_buf_size(limits.headers.to_usize())
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let closing = async {
        state.progress.wait_for_close().await;
        agatemill_runtime::sleep(IDLE_GRACE).await;
        None
    };
    let completed = async { Some(connection.as_mut().await) };
    let result = if let Some(result) = smol::future::or(completed, closing).await {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    if let Err(error) = &result {
        log::debug!(error:%; "entry: connection failed");
    }
    match result.err().and_then(|error| refusal(&tracker, &error)) {
        Some(refusal) => write_refusal(&state, stream, &refusal).await,
        None => linger(stream).await,
    }
}

/// Refusal for a caller whose request head was not accepted; `None` if the connection closes silently.
fn refusal(tracker: &Tracker, error: &hyper::Error) -> Option<Refusal> {
    let (reason, detail) = match tracker.suppressed_status() {
        Some(431 | 414) => (
            Reason::HeadersTooLarge,
            "the head of the request is over the limit",
        ),
        Some(_) => (
            Reason::BadRequest,
            "the head of the request is not valid HTTP/1.1",
        ),
        // A connection that is idle between requests is closed without a response, because the caller could
        // take it for the response to a request that it sends at the same time.
        None if error.is_timeout() && tracker.has_partial_head() => (
            Reason::RequestTimeout,
            "the head of the request did not arrive in time",
        ),
        None => return None,
    };
    Some(Refusal::not_run(reason, detail))
}

async fn write_refusal(state: &State, mut stream: TcpStream, refusal: &Refusal) {
    state.metrics.count_refusal(refusal.reason);
    let problem = Problem::from(refusal);
    let body = problem.to_json();
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: {}\r\ncontent-length: {}\r\nconnection: close\r\n\
         agatemill-outcome: {}\r\nagatemill-request: {}\r\n\r\n",
        problem.status,
        problem.title,
        problem::MEDIA_TYPE,
        body.len(),
        refusal.outcome,
        exchange::new_id(),
    );
    let write = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await
    };
    // The caller may have disconnected; nothing depends on the result.
    let _ = agatemill_runtime::timeout(LINGER_LIMIT, write).await;
    linger(stream).await;
}

/// Discards for a short time what the caller still sends. The operating system resets a connection that is
/// closed with unread input, which can destroy the last response in transit.
async fn linger(stream: TcpStream) {
    // Fails only on a closed connection.
    let _ = stream.shutdown(std::net::Shutdown::Write);
    // Copying does not wait while bytes are at hand.
    let discard = smol::io::copy(Turn::new(stream), smol::io::sink());
    let _ = agatemill_runtime::timeout(LINGER_LIMIT, discard).await;
}
