//! Servers that send bytes without end.

use core::time::Duration;

use serde_json::json;

use crate::complete_stream;
use crate::run_test;
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
        for number in 0..6 {
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream());
            assert!(response.is_complete);
        }
        assert!(
            !faulty.arrivals().is_empty(),
            "no stream met the faulty engine"
        );
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
        let address = http::serve_endless_heads().to_string();
        system.services[0].set_entry("address", json!(address));
        for number in 4..8 {
            let response = system.send("read", &format!("r{number}")).await;
            assert_eq!(response.body, "done by s1");
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
