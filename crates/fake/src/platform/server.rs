//! HTTP side.

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

/// Largest request: a value of the largest size in base64, with room for more to be refused properly.
const MAX_REQUEST_BYTES: usize = 8 << 20;

/// Wait after an error of `accept`, such as too many open files, which stays for a while.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// An answer, or `None` to close the connection without one.
type Exchange = Option<Response<Body>>;

/// Accepts connections until the task is dropped.
pub async fn accept(listener: TcpListener, state: Shared, stopped: Receiver<()>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            agatemill_runtime::sleep(ACCEPT_PAUSE).await;
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
    // Only latency depends on this option.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        async move {
            let answer = answer(request, state).await;
            answer.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))
        }
    });
    let io = FuturesIo::new(stream);
    // An error here is a connection that the caller or a fault has closed.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn answer(request: Request<Incoming>, state: Shared) -> Exchange {
    let path = request.uri().path().to_owned();
    let get = request.method() == Method::GET;
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    match (path.as_str(), get) {
        ("/fake/counts", true) => Some(json(200, &lock(&state).counts())),
        ("/fake/keys", true) => Some(json(200, &lock(&state).store.keys())),
        (_, true) => Some(json(405, &gateway::invalid("method not allowed"))),
        ("/fake/faults" | "/fake/snapshot" | "/fake/restore", false) => {
            Some(control(&path, &body, &state))
        }
        ("/v3/watch", false) => watch(&body, &state),
        _ => call(&path, &body, &state).await,
    }
}

/// Answers a call of a test.
fn control(path: &str, body: &Bytes, state: &Shared) -> Response<Body> {
    let mut state = lock(state);
    match path {
        "/fake/faults" => match parse(body) {
            Ok(change) => {
                state.change(&change);
                json(200, &state.faults)
            }
            Err(failure) => refuse(&failure),
        },
        "/fake/snapshot" => {
            state.snapshot();
            json(200, &state.store.revision)
        }
        _ if state.restore() => json(200, &state.store.revision),
        _ => refuse(&gateway::invalid("there is no snapshot")),
    }
}

fn watch(body: &Bytes, state: &Shared) -> Exchange {
    let request: WatchRequest = match parse(body) {
        Ok(request) => request,
        Err(failure) => return Some(refuse(&failure)),
    };
    let mut locked = lock(state);
    if locked.faults.down {
        return None;
    }
    locked.count(Kind::Watch, agatemill_runtime::now());
    let refused = locked.faults.refuse;
    drop(locked);
    if refused {
        return Some(refuse(&gateway::exhausted()));
    }
    match Watcher::open(Arc::clone(state), &request.create_request) {
        Ok(watcher) => {
            let frames = watcher.lines().map(|line| Ok(Frame::data(line)));
            Some(Response::new(StreamBody::new(frames).boxed_unsync()))
        }
        Err(failure) => Some(refuse(&failure)),
    }
}

/// Answers every call but a watch.
async fn call(path: &str, body: &Bytes, state: &Shared) -> Exchange {
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

/// Applies a call to the store at once. The answer may be lost to a fault.
fn apply(path: &str, body: &Bytes, state: &mut State) -> Exchange {
    let now = agatemill_runtime::now();
    let Some(kind) = kind(path) else {
        return Some(json(404, &gateway::invalid("not found")));
    };
    state.count(kind, now);
    if state.faults.refuse {
        return Some(refuse(&gateway::exhausted()));
    }
    state.expire(now);
    let before = state.store.revision;
    let result = match path {
        "/v3/kv/range" => run(body, |request| gateway::range(&state.store, request)),
        "/v3/kv/put" => run(body, |request| gateway::put(state, request)),
        "/v3/kv/txn" => run(body, |request| gateway::transaction(state, request)),
        "/v3/lease/grant" => run(body, |request| gateway::grant(state, request, now)),
        "/v3/lease/keepalive" => run(body, |request| gateway::keepalive(state, request, now)),
        _ => run(body, |request| gateway::revoke(state, request)),
    };
    let wrote = kind == Kind::Write && state.store.revision != before;
    if wrote && state.faults.lose_writes > 0 {
        state.faults.lose_writes -= 1;
        return None;
    }
    if wrote && state.faults.time_out_writes > 0 {
        state.faults.time_out_writes -= 1;
        return Some(refuse(&gateway::timed_out()));
    }
    if loses(body, state) {
        return None;
    }
    Some(result)
}

fn kind(path: &str) -> Option<Kind> {
    match path {
        "/v3/kv/range" => Some(Kind::Read),
        "/v3/kv/put" | "/v3/kv/txn" => Some(Kind::Write),
        "/v3/lease/grant" | "/v3/lease/keepalive" | "/v3/lease/revoke" => Some(Kind::Lease),
        _ => None,
    }
}

/// Whether the call names a key whose answers are lost.
fn loses(body: &Bytes, state: &State) -> bool {
    let body: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let own = body.get("key");
    let compared = body.pointer("/compare/0/key");
    let key = own.or(compared).and_then(serde_json::Value::as_str);
    let key = key.and_then(decode).unwrap_or_default();
    state.faults.loses(&key)
}

fn run<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    call: impl FnOnce(&Q) -> gateway::Answer<A>,
) -> Response<Body> {
    match parse(body).and_then(|request| call(&request)) {
        Ok(answer) => json(200, &answer),
        Err(failure) => refuse(&failure),
    }
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> gateway::Answer<T> {
    serde_json::from_slice(body).map_err(|error| gateway::invalid(error.to_string()))
}

fn refuse(failure: &Failure) -> Response<Body> {
    json(gateway::status(failure), failure)
}

fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are always valid JSON");
    let body = Full::new(Bytes::from(body)).boxed_unsync();
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(body)
        .expect("a status and a fixed header make a valid response")
}
