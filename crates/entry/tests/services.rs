//! Service calls of a running entry.

use core::time::Duration;
use std::io::Write;

use crate::support::System;
use crate::support::TOKEN;
use crate::support::agent;
use agatemill_entry::contract;

mod support;

struct Answer {
    status: u16,
    outcome: String,
    replayed: bool,
    body: String,
}

fn pay(system: &System, key: Option<&str>, body: &str) -> Answer {
    let mut request = agent()
        .post(system.url("/v1/services/filing/payments"))
        .header("Authorization", format!("Bearer {TOKEN}"));
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    read(request.send(body).unwrap())
}

fn fetch(system: &System, path: &str) -> Answer {
    let request = agent()
        .get(system.url(path))
        .header("Authorization", format!("Bearer {TOKEN}"));
    read(request.call().unwrap())
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Answer {
    let headers = response.headers();
    Answer {
        status: response.status().as_u16(),
        outcome: headers["agatemill-outcome"].to_str().unwrap().to_owned(),
        replayed: headers.contains_key("agatemill-replayed"),
        body: response.body_mut().read_to_string().unwrap_or_default(),
    }
}

/// Guards against a payment that runs twice when it is submitted twice.
#[test]
fn a_repeated_payment_is_replayed() {
    let system = System::start();
    let first = pay(&system, Some("k1"), "100");
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (200, "complete"),
        "{}",
        first.body
    );
    let second = pay(&system, Some("k1"), "100");
    assert_eq!(
        (second.status, second.replayed),
        (200, true),
        "{}",
        second.body
    );
    assert_eq!(first.body, second.body);
    assert_eq!(system.executions(), 1);
    let reused = pay(&system, Some("k1"), "200");
    assert_eq!((reused.status, reused.outcome.as_str()), (422, "not-run"));
    let missing = pay(&system, None, "100");
    assert_eq!((missing.status, missing.outcome.as_str()), (400, "not-run"));
    assert_eq!(system.executions(), 1);
}

/// Guards against a payment that is sent again after its response was lost.
#[test]
fn a_payment_without_a_response_is_not_sent_again() {
    let system = System::start();
    system.service.update_faults(|faults| faults.cut = 9);
    system.spare.update_faults(|faults| faults.cut = 9);
    let lost = pay(&system, Some("k1"), "100");
    assert_eq!(
        (lost.status, lost.outcome.as_str()),
        (502, "unknown"),
        "{}",
        lost.body
    );
    let repeat = pay(&system, Some("k1"), "100");
    assert_eq!(
        (repeat.status, repeat.outcome.as_str()),
        (409, "unknown"),
        "{}",
        repeat.body
    );
    assert_eq!(system.executions(), 1);
}

/// Guards against payments that fail although another server is reachable, and against a wrong outcome of a call
/// that reached no server.
#[test]
fn a_payment_goes_to_another_server_only_when_none_was_reached() {
    let System {
        entry,
        service,
        spare,
        platform: _platform,
        engines: _engines,
    } = System::start();
    spare.close();
    let url = format!("http://{}/v1/services/filing/payments", entry.address());
    let pay = |key: &str| {
        let request = agent()
            .post(&url)
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header("Idempotency-Key", key);
        read(request.send("100").unwrap())
    };
    for number in 0..10 {
        let answer = pay(&format!("k{number}"));
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(service.executions().len(), 10);
    service.close();
    let none = pay("last");
    assert_eq!(
        (none.status, none.outcome.as_str()),
        (502, "not-run"),
        "{}",
        none.body
    );
}

/// Guards against a payment that is not recorded when its caller disconnects after it was sent.
#[test]
fn a_payment_is_recorded_when_its_caller_disconnects() {
    let system = System::start();
    system.service.update_faults(|faults| faults.after_ms = 300);
    system.spare.update_faults(|faults| faults.after_ms = 300);
    let mut stream = system.connect();
    let request = format!(
        "POST /v1/services/filing/payments HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         idempotency-key: k1\r\ncontent-length: 3\r\n\r\n100"
    );
    stream.write_all(request.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    drop(stream);
    std::thread::sleep(Duration::from_millis(400));
    let repeat = pay(&system, Some("k1"), "100");
    assert_eq!(
        (repeat.status, repeat.replayed),
        (200, true),
        "{}",
        repeat.body
    );
    assert_eq!(system.executions(), 1);
}

/// Guards against payments that are sent while they cannot be recorded.
#[test]
fn without_the_platform_only_idempotent_calls_are_accepted() {
    let System {
        entry,
        service,
        spare,
        platform,
        engines: _engines,
    } = System::start();
    platform.close();
    let authorization = format!("Bearer {TOKEN}");
    let url = format!("http://{}/v1/services/filing", entry.address());
    let paid = agent()
        .post(format!("{url}/payments"))
        .header("Authorization", &authorization)
        .header("Idempotency-Key", "k1");
    let paid = read(paid.send("100").unwrap());
    assert_eq!(
        (paid.status, paid.outcome.as_str()),
        (503, "not-run"),
        "{}",
        paid.body
    );
    assert!(paid.body.contains("platform_unavailable"), "{}", paid.body);
    let found = agent()
        .get(format!("{url}/cases/7"))
        .header("Authorization", &authorization);
    assert_eq!(read(found.call().unwrap()).status, 200);
    assert_eq!(service.executions().len() + spare.executions().len(), 1);
}

/// Guards against lookups that fail on a broken connection although another server is reachable.
#[test]
fn a_lookup_is_retried() {
    let system = System::start();
    system.service.update_faults(|faults| faults.cut = 1);
    for _ in 0..4 {
        let answer = fetch(&system, "/v1/services/filing/cases/7?full=1");
        assert_eq!(
            (answer.status, answer.outcome.as_str()),
            (200, "complete"),
            "{}",
            answer.body
        );
        assert!(answer.body.contains("/cases/7?full=1"), "{}", answer.body);
    }
    assert!(system.metrics().contains("service_lost"));
}

/// Guards against payments and lookups that get what is no response in the protocol, or are recorded with it, and against
/// payments that are sent again after it.
#[test]
fn a_status_that_is_not_final_is_no_response() {
    for status in [101, 600, 999] {
        let system = System::start();
        system
            .service
            .update_faults(|faults| faults.answer = Some(status));
        for _ in 0..4 {
            let answer = fetch(&system, "/v1/services/filing/cases/7");
            assert_eq!(
                (answer.status, answer.outcome.as_str()),
                (200, "complete"),
                "{status}: {}",
                answer.body
            );
        }
        let before = system.executions();
        system
            .spare
            .update_faults(|faults| faults.answer = Some(status));
        let lost = pay(&system, Some("k1"), "100");
        assert_eq!(
            (lost.status, lost.outcome.as_str()),
            (502, "unknown"),
            "{status}: {}",
            lost.body
        );
        let repeat = pay(&system, Some("k1"), "100");
        assert_eq!(
            (repeat.status, repeat.outcome.as_str()),
            (409, "unknown"),
            "{status}: {}",
            repeat.body
        );
        assert_eq!(system.executions(), before + 1);
    }
}

/// Guards against calls without a contract, and against paths that a server could normalise to the path of
/// another contract.
#[test]
fn only_calls_with_a_contract_pass() {
    let system = System::start();
    let current = system.entry.state().configuration_store.current().unwrap();
    let service = &current.document.services[0];
    let status = |method: &str, path: &str| match contract::find(service, method, path) {
        Ok(call) if call.idempotent => 1,
        Ok(_) => 2,
        Err(refusal) => refusal.reason.status(),
    };
    assert_eq!(status("GET", "/cases/7"), 1);
    assert_eq!(status("GET", "/cases/7/parties"), 1);
    assert_eq!(status("POST", "/payments"), 2);
    assert_eq!(status("GET", "/payments"), 405);
    assert_eq!(status("GET", "/casesx"), 404);
    assert_eq!(status("GET", "/cases/r%C3%A9sum%C3%A9"), 1);
    for path in [
        "/cases/../payments",
        "/cases/%2e%2e/payments",
        "/cases//payments",
        "/cases/%2Fpayments",
        "/%70ayments",
        "/cases/%+1",
        "/cases/%é",
        "/cases\\x",
    ] {
        assert_eq!(status("GET", path), 400, "{path}");
    }
    let unknown = fetch(&system, "/v1/services/nothing/x");
    assert_eq!((unknown.status, unknown.outcome.as_str()), (404, "not-run"));
}

/// Guards against a circuit breaker that excludes a healthy server because callers disconnected.
#[test]
fn disconnected_callers_do_not_open_the_circuit_breaker() {
    let system = System::start();
    let state = system.entry.state();
    let current = state.configuration_store.current().unwrap();
    let pool = state.services.pool(&current.document.services[0]).unwrap();
    for _ in 0..10 {
        drop(pool.choose(&[]).unwrap());
    }
    let first = pool.choose(&[]).unwrap();
    let second = pool.choose(&[]).unwrap();
    assert_ne!(first.choice.server, second.choice.server);
    drop((first, second));
    for _ in 0..10 {
        let attempt = pool.choose(&["f2".parse().unwrap()]).unwrap();
        attempt.record_failure();
    }
    let one = pool.choose(&[]).unwrap();
    let two = pool.choose(&[]).unwrap();
    assert_eq!(one.choice.server, two.choice.server);
}
