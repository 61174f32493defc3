//! Limits on heads and bodies, authentication and admission of a running entry.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io::Write;

use crate::support::CHAT;
use crate::support::System;
use crate::support::TOKEN;
use crate::support::agent;
use crate::support::chat;
use crate::support::read;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;
use agatemill_entry::settings::Limits;

mod support;

fn small_limits() -> Limits {
    Limits {
        body: Size(1_000),
        headers: Size(8 << 10),
        header_time: Time::from_millis(300),
        body_time: Time::from_millis(300),
        ..Limits::default()
    }
}

fn assert_problem(answer: &str, status: u16, reason: &str) {
    let head = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&head), "expected {status}: {answer}");
    assert!(answer.contains("agatemill-outcome: not-run"), "{answer}");
    assert!(answer.contains("agatemill-request: "), "{answer}");
    assert!(answer.contains("application/problem+json"), "{answer}");
    assert!(
        answer.contains(&format!(r#""reason":"{reason}""#)),
        "{answer}"
    );
}

fn post(headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Guards against bodies that exhaust the memory, with and without `Content-Length`.
#[test]
fn a_large_body_is_refused() {
    let system = System::with(small_limits(), "");
    let large = "x".repeat(5_000);
    assert_problem(
        &system.raw(post("", &large).as_bytes()),
        413,
        "body_too_large",
    );
    let chunked = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\ntransfer-encoding: chunked\r\n\r\n1388\r\n{large}\r\n0\r\n\r\n"
    );
    assert_problem(&system.raw(chunked.as_bytes()), 413, "body_too_large");
}

/// Guards against callers whose framing never ends and holds up all threads.
#[test]
fn framing_without_end_does_not_hold_up_the_entry() {
    let system = System::start();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    for (start, piece) in [("", "0"), ("1", " "), ("1", "\t")] {
        let is_done = AtomicBool::new(false);
        let send = || {
            let pieces = piece.repeat(64 << 10);
            while !is_done.load(Ordering::Relaxed) {
                let mut stream = system.connect();
                let limit = Some(Duration::from_millis(200));
                stream.set_write_timeout(limit).unwrap();
                let mut result = stream.write_all(format!("{head}{start}").as_bytes());
                while result.is_ok() && !is_done.load(Ordering::Relaxed) {
                    result = stream.write_all(pieces.as_bytes());
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(send);
            }
            std::thread::sleep(Duration::from_millis(500));
            let health =
                system.raw(b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let answer = system.raw(post("", &chat("")).as_bytes());
            is_done.store(true, Ordering::Relaxed);
            assert!(health.starts_with("HTTP/1.1 200 "), "{piece:?}: {health}");
            assert!(answer.starts_with("HTTP/1.1 200 "), "{piece:?}: {answer}");
        });
    }
}

/// Holds bodies of the largest size on a path until the next one is refused, and checks that a small request is still served.
/// `copies` of each body count in the memory.
fn hold_bodies(path: &str, count: usize, copies: usize, refused: &str) {
    let limits = Limits {
        body: Size(4 << 20),
        memory: Size(64_000_000),
        ..Limits::default()
    };
    let system = System::with(limits, "");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: k\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: 4194304\r\n\r\n"
    );
    let wait_until_held = |bytes: usize| {
        let line = format!("agatemill_held_bytes{{purpose=\"requests\"}} {bytes}\n");
        let is_held = (0..1_000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            system.metrics().contains(&line)
        });
        assert!(is_held, "{bytes} bytes are not held: {}", system.metrics());
    };
    let open = || {
        let mut stream = system.connect();
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    let streams: Vec<_> = (0..count).map(|_| open()).collect();
    wait_until_held(count * copies * 4_194_304);
    let answer = system.raw(head.as_bytes());
    assert_problem(&answer, 503, "overloaded");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    let refused = format!("agatemill_events_total{{event=\"{refused}\",part=\"memory\"}}");
    assert!(system.metrics().contains(&refused));
    // A small request is still served.
    let answer = system.raw(post("", &chat("")).as_bytes());
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    drop(streams);
    wait_until_held(0);
}

/// Guards against bodies of legal size that exceed the memory together, and against memory that stays taken.
#[test]
fn bodies_beyond_the_memory_are_refused() {
    // Three quarters of 19.2 MB.
    hold_bodies("/v1/services/filing/payments", 3, 1, "refused_owner");
}

/// Guards against the same for chats, of which more is made.
#[test]
fn chats_beyond_the_memory_are_refused() {
    hold_bodies("/v1/chat/completions", 1, 4, "refused_full");
}

/// Guards against a connection that is reset while the caller still sends, before the caller has read the refusal.
#[test]
fn a_refusal_reaches_a_caller_that_still_sends() {
    let system = System::with(small_limits(), "");
    let large = "x".repeat(8 << 20);
    for token in [TOKEN, "wrong"] {
        let response = agent()
            .post(system.url("/v1/chat/completions"))
            .header("Authorization", format!("Bearer {token}"))
            .send(&large)
            .unwrap();
        let expected = if token == TOKEN { 413 } else { 401 };
        assert_eq!(response.status(), expected);
    }
}

/// Guards against heads that exhaust the memory, and against a response without an outcome.
#[test]
fn a_large_head_is_refused() {
    let system = System::with(small_limits(), "");
    let header = format!("x-filler: {}\r\n", "y".repeat(20_000));
    let answer = system.raw(post(&header, "{}").as_bytes());
    assert_problem(&answer, 431, "headers_too_large");
}

/// Guards against a response to a malformed head without a problem document.
#[test]
fn a_malformed_head_is_refused() {
    let system = System::start();
    assert_problem(&system.raw(b"GET\0/ HTTP/1.1\r\n\r\n"), 400, "bad_request");
}

/// Guards against callers that occupy connections with incomplete requests.
#[test]
fn a_slow_request_is_refused() {
    let system = System::with(small_limits(), "");
    assert_problem(&system.raw(b"GET /healthz HTT"), 408, "request_timeout");
    let whole = post("", &"x".repeat(500));
    let part = &whole.as_bytes()[..whole.len() - 10];
    assert_problem(&system.raw(part), 408, "request_timeout");
}

/// Guards against a response on an idle connection, which the caller would take for the response to its next
/// request.
#[test]
fn an_idle_connection_is_closed_without_a_response() {
    let system = System::with(small_limits(), "");
    let mut stream = system.connect();
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .unwrap();
    let answer = read(&mut stream);
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against callers that keep connections open for ever by reading nothing.
#[test]
fn a_caller_that_does_not_read_is_disconnected() {
    let limits = Limits {
        stall_time: Time::from_millis(300),
        ..Limits::default()
    };
    let system = System::with(limits, "");
    let mut stream = system.connect();
    stream
        .set_write_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n".repeat(100);
    let error = loop {
        if let Err(error) = stream.write_all(&request) {
            break error;
        }
    };
    let ended = [
        std::io::ErrorKind::ConnectionReset,
        std::io::ErrorKind::BrokenPipe,
    ];
    assert!(ended.contains(&error.kind()), "{error}");
}

/// Guards against access without a valid token, and against the use of models that were not granted.
#[test]
fn only_known_tokens_and_granted_models_pass() {
    let system = System::start();
    let status = |authorization: Option<&str>, body: &str| {
        let mut request = agent().post(system.url("/v1/chat/completions"));
        if let Some(value) = authorization {
            request = request.header("Authorization", value);
        }
        request.send(body).unwrap().status().as_u16()
    };
    let valid = format!("Bearer {TOKEN}");
    assert_eq!(status(None, &chat("")), 401);
    assert_eq!(status(Some("Bearer wrong"), &chat("")), 401);
    assert_eq!(status(Some(&format!("Basic {TOKEN}")), &chat("")), 401);
    assert_eq!(status(Some(&valid), &chat("")), 200);
    assert_eq!(status(Some("Bearer other-token"), &chat("")), 403);
    let unknown = chat("").replace("drafter", "nothing");
    assert_eq!(status(Some(&valid), &unknown), 404);
}

/// Guards against an organisation that exceeds its rate, and against a refusal without a time to retry after.
#[test]
fn the_rate_limit_is_enforced() {
    let system = System::start();
    let get = || {
        agent()
            .get(system.url("/v1/services/filing/cases/1"))
            .header("Authorization", "Bearer other-token")
            .call()
            .unwrap()
    };
    // The organisation may use no service, so it is refused before its rate counts.
    assert_eq!(get().status(), 403);
    let current = system.entry.state().configuration_store.current().unwrap();
    let organisations = &current.document.organisations;
    let kano = organisations
        .iter()
        .find(|one| one.name.as_str() == "kano")
        .unwrap();
    let deadline = agatemill_runtime::now() + Duration::from_secs(5);
    let admission = &system.entry.state().admission;
    let permit = smol::block_on(admission.admit(kano, 1, deadline)).unwrap();
    let refusal = smol::block_on(admission.admit(kano, 1, deadline)).unwrap_err();
    assert_eq!(refusal.reason, agatemill_core::Reason::RateLimited);
    assert!(refusal.retry_after.is_some());
    drop(permit);
}

/// Guards against wrong responses of the paths that need no backend server.
#[test]
fn paths_without_a_backend_are_served() {
    let system = System::start();
    let get = |path: &str| {
        let mut response = agent()
            .get(system.url(path))
            .header("Authorization", format!("Bearer {TOKEN}"))
            .call()
            .unwrap();
        let cache = response.headers().get("cache-control").cloned();
        let text = response.body_mut().read_to_string().unwrap();
        (response.status().as_u16(), cache, text)
    };
    assert_eq!(get("/healthz").0, 200);
    assert_eq!(get("/readyz").0, 200);
    let (status, cache, entries) = get("/v1/entries");
    assert_eq!(status, 200);
    assert_eq!(cache.unwrap(), "max-age=0");
    let address = system.entry.address();
    assert!(
        entries.contains(&format!(r#""address":"{address}""#)),
        "{entries}"
    );
    assert!(get("/v1/models").2.contains(r#""id":"drafter""#));
    assert_eq!(get("/nothing").0, 404);
    assert_eq!(get("/v1/chat/completions").0, 405);
    assert!(CHAT.contains("drafter"));
}
