//! Parsing of requests and encoding of responses.

use std::collections::HashSet;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use crate::support::System;
use crate::support::TOKEN;
use crate::support::chat;
use agatemill_core::Cause;
use agatemill_core::Digest;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_entry::at_most_once;
use agatemill_entry::chat::Chat;
use agatemill_entry::completion::Completion;
use agatemill_entry::contract;
use agatemill_entry::exchange;
use agatemill_entry::header;
use agatemill_entry::problem::Problem;
use agatemill_entry::resume;
use agatemill_entry::sse;
use agatemill_entry::sse::EventId;

mod support;

/// Guards against the refusal of bodies that client libraries send.
#[test]
fn common_bodies_are_accepted() {
    let parts = r#"{"model":"m","messages":[{"role":"system","content":"a"},
        {"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}],
        "temperature":0.5,"seed":7,"top_p":1,"user":"u","max_completion_tokens":9,"n":1,"stream":null}"#;
    let chat = Chat::parse(parts.as_bytes()).unwrap();
    assert_eq!(chat.prompt, "system: a\nuser: bc\nassistant: ");
    assert_eq!(
        (chat.max_tokens, chat.seed, chat.stream),
        (9, Some(7), false)
    );
}

/// Guards against a refusal that does not name the invalid field.
#[test]
fn invalid_fields_are_named() {
    for (rest, field) in [
        (r#","temperature":3"#, "duplicate field"),
        (r#","max_tokens":0"#, "max_tokens"),
        (r#","max_tokens":-1"#, "-1"),
        (r#","n":2"#, "n: found 2"),
    ] {
        let refusal = Chat::parse(chat(rest).as_bytes()).unwrap_err();
        assert_eq!(refusal.reason, Reason::BadRequest);
        assert!(refusal.detail.contains(field), "{}", refusal.detail);
    }
    let image = r#"{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#;
    let refusal = Chat::parse(image.as_bytes()).unwrap_err();
    assert!(
        refusal.detail.contains("messages[0].content"),
        "{}",
        refusal.detail
    );
}

/// Guards against events that a client would split or join because of line breaks in the data.
#[test]
fn events_are_framed() {
    let completion = Completion::new("r1".parse().unwrap(), "m".parse().unwrap());
    let id = EventId::new("r1".parse().unwrap(), &Digest::of(b"x"), 3);
    let data = completion.token_chunk(3, "two\nlines\r\n\"quoted\"");
    let event = sse::event(Some(&id), &data);
    let text = core::str::from_utf8(&event).unwrap();
    assert!(text.starts_with(&format!("id: {id}\ndata: {{")), "{text}");
    assert_eq!(text.matches('\n').count(), 3, "{text}");
    assert_eq!(id.to_string().parse::<EventId>().unwrap(), id);
}

/// Guards against problem documents whose status or outcome differs from that of the refusal.
#[test]
fn problem_documents_match_the_refusal() {
    for reason in Reason::ALL {
        let refusal = Refusal::new(*reason, Phase::Sent, Cause::ConnectionLost, "why");
        let problem = serde_json::to_value(Problem::from(&refusal)).unwrap();
        assert_eq!(problem["status"], reason.status());
        assert_eq!(problem["reason"], reason.as_str());
        assert_eq!(problem["outcome"], "unknown");
        assert_eq!(problem["detail"], "why");
        assert!(problem["type"].is_string() && problem["title"].is_string());
    }
}

/// Guards against hop-by-hop headers, credentials and forged organisation names that reach a backend server.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "x-hop, keep-alive"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("authorization", "Bearer secret"),
        ("agatemill-organisation", "forged"),
        ("idempotency-key", "k"),
        ("accept", "a"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let forwarded = header::forwarded(&headers);
    let mut names: Vec<_> = forwarded
        .keys()
        .map(hyper::header::HeaderName::as_str)
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "idempotency-key"]);
}

/// Guards against ids that repeat on another thread, so that two requests use the same sessions.
#[test]
fn ids_do_not_repeat() {
    let make = || (0..20_000).map(|_| exchange::new_id()).collect::<Vec<_>>();
    let threads: Vec<_> = (0..4).map(|_| std::thread::spawn(make)).collect();
    let ids = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap());
    let distinct: HashSet<_> = ids.collect();
    assert_eq!(distinct.len(), 80_000);
}

proptest! {
    /// Guards against bodies that make the parser panic.
    #[test]
    fn any_body_is_parsed_or_refused(body in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Err(refusal) = Chat::parse(&body) {
            prop_assert_eq!(refusal.reason, Reason::BadRequest);
        }
    }

    /// Guards against field values out of range that pass the checks, or that make them panic.
    #[test]
    fn any_field_value_is_checked(name in "[a-z_]{1,12}|max_tokens|seed|stream", value in r#"-?[0-9]{1,25}(\.[0-9])?|null|true|"[a-z]{0,5}"|\[\]|\{\}"#) {
        let body = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"x"}}],"{name}":{value}}}"#);
        if let Ok(chat) = Chat::parse(body.as_bytes()) {
            prop_assert!((1..=32_768).contains(&chat.max_tokens));
            prop_assert!((0.0..=2.0).contains(&chat.temperature));
        }
    }

    /// Guards against headers that make a check panic.
    #[test]
    fn any_header_is_checked(value in prop::collection::vec(any::<u8>(), 0..80), path in "\\PC{0,40}") {
        let mut headers = HeaderMap::new();
        let Ok(value) = HeaderValue::from_bytes(&value) else { return Ok(()); };
        for name in ["authorization", "last-event-id", "idempotency-key", "connection"] {
            headers.insert(name, value.clone());
        }
        let chat = Chat::parse(chat(r#","stream":true"#).as_bytes()).unwrap();
        let _ = resume::check(&headers, &chat, &Digest::of(b"x"));
        let _ = at_most_once::idempotency_key(&headers);
        let _ = header::forwarded(&headers);
        let _ = agatemill_entry::authentication::Tokens::default().authenticate(&headers);
        let service = agatemill_config::document::Service {
            name: "s".parse().unwrap(),
            half: "h".parse().unwrap(),
            servers: Vec::new(),
            calls: Vec::new(),
        };
        prop_assert!(contract::find(&service, "GET", &path).is_err());
    }
}

/// Guards against bytes that stop the server, and against refusals without an outcome or a reason.
#[test]
fn any_request_gets_an_outcome_and_a_reason() {
    let system = System::start();
    let strategy = (
        "GET|POST|PUT|[A-Z]{1,5}",
        "/v1/(chat/completions|services/filing/(cases|payments)?/?[a-z%.]{0,6}|models)|/[!-~]{0,20}",
        prop::collection::vec(any::<u8>(), 0..40),
        prop::collection::vec(any::<u8>(), 0..200),
    );
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let test = |(method, path, value, body): (String, String, Vec<u8>, Vec<u8>)| {
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: {}\r\nidempotency-key: ",
            body.len()
        )
        .into_bytes();
        request.extend(value.into_iter().filter(|byte| !b"\r\n".contains(byte)));
        request.extend_from_slice(b"\r\n\r\n");
        request.extend_from_slice(&body);
        let answer = system.raw(&request);
        prop_assert!(answer.starts_with("HTTP/1.1 "), "{}", answer);
        prop_assert!(answer.contains("agatemill-outcome: "), "{}", answer);
        let fine = answer.starts_with("HTTP/1.1 200");
        let is_head = method == "HEAD";
        prop_assert!(
            fine || is_head || answer.contains(r#""reason":"#),
            "{}",
            answer
        );
        Ok(())
    };
    runner.run(&strategy, test).unwrap();
}
