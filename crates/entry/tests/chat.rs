//! Chat completions of a running entry, requested with an HTTP client library.

use core::time::Duration;
use std::io::Write;
use std::thread;

use serde_json::Value;

use crate::support::System;
use crate::support::TOKEN;
use crate::support::agent;
use crate::support::chat;
use agatemill_fake::engine::Engine;

mod support;

fn post(system: &System, body: &str, last: Option<&str>) -> (u16, String, String) {
    let mut request = agent()
        .post(system.url("/v1/chat/completions"))
        .header("Authorization", format!("Bearer {TOKEN}"));
    if let Some(last) = last {
        request = request.header("Last-Event-ID", last);
    }
    let mut response = request.send(body).unwrap();
    let outcome = response.headers()["agatemill-outcome"].to_str().unwrap();
    let outcome = outcome.to_owned();
    assert!(response.headers().contains_key("agatemill-request"));
    let status = response.status().as_u16();
    (
        status,
        outcome,
        response.body_mut().read_to_string().unwrap(),
    )
}

fn ids(stream: &str) -> Vec<&str> {
    let lines = stream.lines();
    lines.filter_map(|line| line.strip_prefix("id: ")).collect()
}

fn content(stream: &str) -> String {
    let data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let texts = chunks.filter_map(|chunk| {
        let text = chunk["choices"][0]["delta"]["content"].as_str()?;
        Some(text.to_owned())
    });
    texts.collect()
}

/// Guards against responses that client libraries cannot parse, and against a stream whose text differs from
/// the plain response to the same request.
#[test]
fn plain_and_streamed_responses_agree() {
    let system = System::start();
    let (status, outcome, plain) = post(&system, &chat(""), None);
    assert_eq!((status, outcome.as_str()), (200, "complete"), "{plain}");
    let plain: Value = serde_json::from_str(&plain).unwrap();
    assert_eq!(plain["object"], "chat.completion");
    assert_eq!(plain["choices"][0]["message"]["role"], "assistant");
    let usage = &plain["usage"];
    let sum =
        usage["prompt_tokens"].as_u64().unwrap() + usage["completion_tokens"].as_u64().unwrap();
    assert_eq!(usage["total_tokens"].as_u64().unwrap(), sum);

    let body = chat(r#","stream":true,"stream_options":{"include_usage":true}"#);
    let (status, _, stream) = post(&system, &body, None);
    assert_eq!(status, 200);
    assert!(stream.ends_with("data: [DONE]\n\n"), "{stream}");
    assert_eq!(content(&stream), plain["choices"][0]["message"]["content"]);
    assert!(stream.contains(r#""total_tokens""#));
    let tokens = u64::try_from(ids(&stream).len()).unwrap();
    assert_eq!(tokens, usage["completion_tokens"].as_u64().unwrap());
    assert!(
        system
            .metrics()
            .contains("agatemill_first_token_seconds_count")
    );
}

/// Guards against a resumed stream that repeats or omits tokens.
#[test]
fn a_resumed_stream_continues_after_the_last_event() {
    let system = System::start();
    let body = chat(r#","stream":true"#);
    let (_, _, full) = post(&system, &body, None);
    let all = ids(&full);
    let (status, _, rest) = post(&system, &body, Some(all[2]));
    assert_eq!(status, 200, "{rest}");
    assert_eq!(ids(&rest), all[3..]);
    assert!(content(&full).ends_with(&content(&rest)));
    assert!(rest.ends_with("data: [DONE]\n\n"));

    let (status, outcome, problem) =
        post(&system, &chat(r#","stream":true,"seed":1"#), Some(all[2]));
    assert_eq!((status, outcome.as_str()), (409, "not-run"), "{problem}");
    assert!(problem.contains("resume_mismatch"));
}

/// Guards against the resumption of a stream whose tokens would differ.
#[test]
fn a_sampled_stream_without_seed_is_not_resumed() {
    let system = System::start();
    let body = r#"{"model":"drafter","messages":[{"role":"user","content":"x"}],"stream":true}"#;
    let (_, _, stream) = post(&system, body, None);
    let (status, _, problem) = post(&system, body, Some(ids(&stream)[0]));
    assert_eq!(status, 409);
    assert!(problem.contains("resume_not_deterministic"), "{problem}");
}

/// Guards against a wrong outcome when no chain of engines is left: the request must be refused as not run.
#[test]
fn a_request_without_a_chain_is_refused() {
    let mut system = System::start();
    system.engines.remove(1).close();
    thread::sleep(Duration::from_millis(1_500));
    let (status, outcome, problem) = post(&system, &chat(r#","stream":true"#), None);
    assert_eq!(status, 503, "{problem}");
    assert_eq!(outcome, "not-run", "{problem}");
    assert!(problem.contains("no_chain"), "{problem}");
}

/// Guards against a stream that fails after its first token but looks complete.
#[test]
fn a_stream_that_fails_ends_with_an_error_event() {
    let system = System::start();
    let body = chat(r#","stream":true,"max_tokens":64"#);
    system.engines[1].update_faults(|faults| {
        faults.late = 1_000;
        faults.late_ms = 50;
    });
    let address = system.engines[1].address();
    let response = agent()
        .post(system.url("/v1/chat/completions"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .send(&body)
        .unwrap();
    assert_eq!(response.status(), 200, "engine {address}");
    let mut system = system;
    system.engines.remove(1).close();
    let mut response = response;
    let stream = response.body_mut().read_to_string().unwrap();
    assert!(stream.contains("event: error\ndata: {"), "{stream}");
    assert!(stream.contains(r#""outcome":"unknown""#), "{stream}");
    assert!(!stream.contains("[DONE]"), "{stream}");
}

/// Guards against generations that continue after the caller disconnects and occupy slots and sessions.
#[test]
fn a_disconnected_caller_releases_slots_and_sessions() {
    let system = System::start();
    for engine in &system.engines {
        engine.update_faults(|faults| {
            faults.late = 100_000;
            faults.late_ms = 30;
        });
    }
    for rest in ["", r#","stream":true"#] {
        let body = chat(rest);
        let mut stream = system.connect();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(200));
        assert!(system.entry.state().progress.in_flight() > 0);
        drop(stream);
        let idle = || {
            let sessions: usize = system.engines.iter().map(Engine::sessions).sum();
            system.entry.state().progress.in_flight() == 0 && sessions == 0
        };
        let waited = (0..100).any(|_| {
            thread::sleep(Duration::from_millis(10));
            idle()
        });
        assert!(waited, "{rest:?} was still in progress after 1 s");
    }
}
