//! Servers that send bytes without end.

use core::sync::atomic::Ordering;
use core::time::Duration;

use serde_json::json;

use crate::complete_stream;
use crate::run_test;
use crate::system::Response;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::http;

/// Deadline of the test callers' requests, with a margin for a busy machine.
const DEADLINE: Duration = Duration::from_secs(6);

/// Guards against callers that get bytes without end, past their deadline, because an engine fails with a body
/// that does not end.
#[test]
fn an_endless_error_of_a_stream_ends_by_the_deadline() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::EndlessBody(500));
        }
        let sending = system.send("draft", "a1");
        let response = agatemill_runtime::timeout(DEADLINE, sending).await;
        let response = response.expect("the response ends by the deadline");
        assert_eq!(response.status, 502, "{:?}", response.headers);
    });
}

/// Guards against a stream that fails although other engines could serve it, because an engine sends an event
/// without end.
#[test]
fn a_stream_with_an_endless_event_is_resumed() {
    run_test(4, |system| async move {
        let faulty = &system.engines[0];
        faulty.set_behaviour(Behaviour::EndlessBody(200));
        let is_complete = |response: &Response| {
            assert_eq!(response.body, complete_stream());
            assert!(response.is_complete);
        };
        system.reach_with("draft", faulty, is_complete).await;
        for number in 0..6 {
            is_complete(&system.send("draft", &format!("a{number}")).await);
        }
    });
}

/// Guards against calls that wait until their deadline, or are not retried, because a server sends a response
/// without end.
#[test]
fn an_idempotent_call_is_retried_after_an_endless_response() {
    run_test(2, |system| async move {
        system.services[0].set_behaviour(Behaviour::EndlessBody(200));
        for number in 0..4 {
            let response = system.send("read", &format!("r{number}")).await;
            assert_eq!(response.body, "done by s1");
        }
    });
}

/// Guards against connections that stay open, and read bytes without end, after their request was given up.
#[test]
fn connections_of_endless_responses_are_closed() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let endless = [
        ("a header", format!("{head}filler: "), "x"),
        ("headers", head.to_owned(), "filler: x\r\n"),
        (
            "interim responses",
            String::new(),
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        ("a body", format!("{head}\r\n"), "x"),
        ("chunks", chunked.to_owned(), "1\r\nx\r\n"),
        ("a chunk extension", format!("{chunked}1;"), "x"),
        ("trailers", format!("{chunked}0\r\n"), "filler: x\r\n"),
        ("no HTTP", String::new(), "x"),
    ];
    run_test(2, |system| async move {
        for (name, start, piece) in endless {
            let faulty = http::serve_endless(start.leak(), piece);
            system.services[0].set_entry("address", json!(faulty.address.to_string()));
            let service: agatemill_core::id::Service = "plain".parse().unwrap();
            system
                .wait_until("the new address is known", || {
                    let view = system.process.state().view();
                    let servers = view.servers(&service);
                    servers
                        .iter()
                        .any(|server| server.address == faulty.address)
                })
                .await;
            let mut number = 0;
            while faulty.accepted.load(Ordering::Relaxed) == 0 {
                let response = system.send("read", &format!("{name}-{number}")).await;
                assert_eq!(response.body, "done by s1", "{name}");
                number += 1;
            }
            system
                .wait_until(name, || faulty.open.load(Ordering::Relaxed) == 0)
                .await;
        }
    });
}

/// Guards against a payment that is sent again after a response without end.
#[test]
fn an_endless_response_to_a_payment_leaves_its_outcome_unknown() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::EndlessBody(200));
        }
        let response = system.send("pay", "p1").await;
        assert_eq!(response.status, 502);
        assert_eq!(system.run_count("p1"), 1);
    });
}
