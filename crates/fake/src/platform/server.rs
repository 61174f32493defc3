//! HTTP server of the fake platform.

use core::convert::Infallible;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::platform::Shared;
use crate::platform::counts::Kind;
use crate::platform::gateway;
use crate::platform::lock;
use crate::platform::state::State;
use crate::platform::watcher::Watcher;
use agatemill_platform::gateway::Failure;
use agatemill_platform::gateway::WatchRequest;
use agatemill_platform::gateway::decode;

/// Maximum size of a request body. It exceeds the base64 form of the largest value, so that somewhat larger values are
/// rejected with a proper error.
const MAX_REQUEST_BYTES: usize = 8 << 20;

/// Delay before `accept` is retried after an error, such as too many open files, that is likely to persist.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// A response, or `None` to close the connection without one.
type Outcome = Option<Response<Body>>;

/// Accepts connections until the task is dropped.
pub async fn accept(listener: TcpListener, state: Shared, stopped: Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            agatemill_runtime::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serve = serve(stream, Arc::clone(&state));
        let stopped = stopped.clone();
        let until = async move {
            let _ = stopped.recv().await;
        };
        agatemill_runtime::spawn(smol::future::or(serve, until)).detach();
    }
}

async fn serve(stream: TcpStream, state: Shared) {
    // The option affects only latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move {
            let response = handle(request, state).await;
            response.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let io = FuturesIo::new(stream);
    // An error means that the caller or an injected fault closed the connection.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn handle(request: Request<Incoming>, state: Shared) -> Outcome {
    let path = request.uri().path().to_owned();
    let is_get = request.method() == Method::GET;
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    match (path.as_str(), is_get) {
        ("/fake/counts", true) => Some(json(200, &lock(&state).counts())),
        ("/fake/keys", true) => Some(json(200, &lock(&state).store.keys())),
        (_, true) => Some(json(405, &gateway::invalid_argument("method not allowed"))),
        ("/fake/faults" | "/fake/snapshot" | "/fake/restore", false) => {
            Some(handle_control(&path, &body, &state))
        }
        ("/v3/watch", false) => handle_watch(&body, &state),
        _ => handle_call(&path, &body, &state).await,
    }
}

/// Handles a control call of a test.
fn handle_control(path: &str, body: &Bytes, state: &Shared) -> Response<Body> {
    let mut state = lock(state);
    match path {
        "/fake/faults" => match parse_json(body) {
            Ok(change) => {
                state.update_faults(&change);
                json(200, &state.faults)
            }
            Err(failure) => error_response(&failure),
        },
        "/fake/snapshot" => {
            state.snapshot();
            json(200, &state.store.revision)
        }
        _ if state.restore() => json(200, &state.store.revision),
        _ => error_response(&gateway::invalid_argument("there is no snapshot")),
    }
}

fn handle_watch(body: &Bytes, state: &Shared) -> Outcome {
    let request: WatchRequest = match parse_json(body) {
        Ok(request) => request,
        Err(failure) => return Some(error_response(&failure)),
    };
    let mut locked = lock(state);
    if locked.faults.down {
        return None;
    }
    locked.count_call(Kind::Watch, agatemill_runtime::now());
    let refused = locked.faults.refuse;
    drop(locked);
    if refused {
        return Some(error_response(&gateway::resource_exhausted()));
    }
    match Watcher::open(Arc::clone(state), &request.create_request) {
        Ok(watcher) => {
            let frames = watcher.lines().map(|line| Ok(Frame::data(line)));
            Some(Response::new(StreamBody::new(frames).boxed_unsync()))
        }
        Err(failure) => Some(error_response(&failure)),
    }
}

/// Handles every call of the gateway except watches.
async fn handle_call(path: &str, body: &Bytes, state: &Shared) -> Outcome {
    let (result, delay) = {
        let mut state = lock(state);
        if state.faults.down {
            return None;
        }
        (apply(path, body, &mut state), state.faults.delay())
    };
    if !delay.is_zero() {
        agatemill_runtime::sleep(delay).await;
    }
    result
}

/// Applies a call to the store. Returns `None` if a fault drops the response.
fn apply(path: &str, body: &Bytes, state: &mut State) -> Outcome {
    let now = agatemill_runtime::now();
    let Some(kind) = call_kind(path) else {
        return Some(json(404, &gateway::invalid_argument("not found")));
    };
    state.count_call(kind, now);
    if state.faults.refuse {
        return Some(error_response(&gateway::resource_exhausted()));
    }
    state.expire(now);
    let before = state.store.revision;
    let result = match path {
        "/v3/kv/range" => execute(body, |request| gateway::range(&state.store, request)),
        "/v3/kv/put" => execute(body, |request| gateway::put(state, request)),
        "/v3/kv/txn" => execute(body, |request| gateway::transaction(state, request)),
        "/v3/lease/grant" => execute(body, |request| gateway::grant(state, request, now)),
        "/v3/lease/keepalive" => execute(body, |request| gateway::keepalive(state, request, now)),
        _ => execute(body, |request| gateway::revoke(state, request)),
    };
    let has_written = kind == Kind::Write && state.store.revision != before;
    if has_written && state.faults.lose_writes > 0 {
        state.faults.lose_writes -= 1;
        return None;
    }
    if has_written && state.faults.time_out_writes > 0 {
        state.faults.time_out_writes -= 1;
        return Some(error_response(&gateway::timed_out()));
    }
    if loses_response(body, state) {
        return None;
    }
    Some(result)
}

fn call_kind(path: &str) -> Option<Kind> {
    match path {
        "/v3/kv/range" => Some(Kind::Read),
        "/v3/kv/put" | "/v3/kv/txn" => Some(Kind::Write),
        "/v3/lease/grant" | "/v3/lease/keepalive" | "/v3/lease/revoke" => Some(Kind::Lease),
        _ => None,
    }
}

/// Whether the call has a key whose responses are lost.
fn loses_response(body: &Bytes, state: &State) -> bool {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let own = body.get("key");
    let compared = body.pointer("/compare/0/key");
    let key = own.or(compared).and_then(serde_json::Value::as_str);
    let key = key.and_then(decode).unwrap_or_default();
    state.faults.loses_response(&key)
}

fn execute<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    call: impl FnOnce(&Q) -> gateway::Reply<A>,
) -> Response<Body> {
    match parse_json(body).and_then(|request| call(&request)) {
        Ok(answer) => json(200, &answer),
        Err(failure) => error_response(&failure),
    }
}

fn parse_json<T: DeserializeOwned>(body: &Bytes) -> gateway::Reply<T> {
    serde_json::from_slice(body).map_err(|error| gateway::invalid_argument(error.to_string()))
}

fn error_response(failure: &Failure) -> Response<Body> {
    json(gateway::http_status(failure), failure)
}

fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("responses always serialise to JSON");
    let body = Full::new(Bytes::from(body)).boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body)
        .expect("a status and a fixed header make a valid response")
}
