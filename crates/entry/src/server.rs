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

/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long the listener waits for connections that the operating system has already taken before it
/// closes; closing the listener resets them.
const BACKLOG_WAIT: Duration = Duration::from_millis(50);

/// How long a connection is kept after the listener has closed, so that a request that is on its way on an
/// idle connection is answered.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// How long the last answer may take, and how long a caller may go on sending after it.
const FAREWELL_LIMIT: Duration = Duration::from_secs(1);

/// Accepts connections until they are to end.
pub async fn serve(state: Arc<State>, listener: TcpListener) {
    loop {
        let ended = async {
            state.progress.wait_for_close().await;
            None
        };
        let accepted = smol::future::or(ended, async { Some(listener.accept().await) }).await;
        match accepted {
            Some(connection) => take(&state, connection.map(|(stream, _)| stream)).await,
            None => break,
        }
    }
    while let Some(Ok((stream, _))) =
        agatemill_runtime::timeout(BACKLOG_WAIT, listener.accept()).await
    {
        take(&state, Ok(stream)).await;
    }
}

async fn take(state: &Arc<State>, connection: io::Result<TcpStream>) {
    match connection {
        Ok(stream) => {
            let link = state.progress.add_connection();
            let state = Arc::clone(state);
            let task = async move {
                converse(state, stream).await;
                drop(link);
            };
            agatemill_runtime::spawn(task).detach();
        }
        Err(error) => {
            log::warn!(error:%; "entry: a connection was not accepted");
            agatemill_runtime::sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn converse(state: Arc<State>, stream: TcpStream) {
    // Tokens are small writes that have to leave at once. Fails only on a connection that has ended.
    let _ = stream.set_nodelay(true);
    let tracker = Arc::new(Tracker::default());
    let limits = &state.settings.limits;
    let service = service_fn(|request: Request<Incoming>| {
        tracker.record_head();
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
        Arc::clone(&tracker),
        limits.stall_time.to_duration(),
    );
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_time.to_duration())
        .max_buf_size(limits.headers.to_usize())
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let ended = async {
        state.progress.wait_for_close().await;
        agatemill_runtime::sleep(IDLE_GRACE).await;
        None
    };
    let whole = async { Some(connection.as_mut().await) };
    let result = if let Some(result) = smol::future::or(whole, ended).await {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    if let Err(error) = &result {
        log::debug!(error:%; "entry: connection ended");
    }
    match result.err().and_then(|error| refusal(&tracker, &error)) {
        Some(refusal) => refuse(&state, stream, &refusal).await,
        None => linger(stream).await,
    }
}

/// What to say to a caller whose request head was not taken.
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
        // A connection that is idle between requests is closed without an answer, since a request that
        // crosses it would take it for its own.
        None if error.is_timeout() && tracker.has_partial_head() => (
            Reason::RequestTimeout,
            "the head of the request did not arrive in time",
        ),
        None => return None,
    };
    Some(Refusal::not_run(reason, detail))
}

async fn refuse(state: &State, mut stream: TcpStream, refusal: &Refusal) {
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
    let farewell = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await
    };
    // The caller may have left; nothing depends on it.
    let _ = agatemill_runtime::timeout(FAREWELL_LIMIT, farewell).await;
    linger(stream).await;
}

/// Discards what the caller still sends, for a short time. The operating system resets a connection that
/// is closed with unread input, which can destroy the last answer on its way.
async fn linger(stream: TcpStream) {
    // Fails only on a connection that has ended.
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let discard = smol::io::copy(stream, smol::io::sink());
    let _ = agatemill_runtime::timeout(FAREWELL_LIMIT, discard).await;
}
