//! Tests of failures whose status tells callers that their request did not run.

use crate::complete_stream;
use crate::run_test;
use crate::system::Response;
use crate::system::System;
use agatemill_standin::Engine;
use agatemill_standin::engine::Behaviour;

/// Statuses that callers take for the statement that the request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

fn fail_all(servers: &[Engine], status: u16) {
    for server in servers {
        server.set_behaviour(Behaviour::Status(status));
    }
}

/// Asserts that a response neither promises that the request did not run, nor seems to be that of a server.
fn assert_promises_nothing(response: &Response) {
    assert!(!NOT_RUN.contains(&response.status.as_u16()), "{response:?}");
    assert!(
        !response.headers.contains_key("x-response-seal"),
        "{response:?}"
    );
}

async fn metrics(system: &System) -> String {
    let uri = format!("http://{}/", system.process.state().settings().metrics);
    system.get(&uri).await.1
}

/// Guards against a call that runs twice, because its failed server answers with a status which promises that it did not run.
#[test]
fn a_failed_call_is_not_reported_as_not_run() {
    for status in [408, 429, 503] {
        run_test(2, |system| async move {
            fail_all(&system.services, status);
            let response = system.send("pay", "p1").await;
            assert_eq!(system.run_count("p1"), 1);
            assert_promises_nothing(&response);
            let metrics = metrics(&system).await;
            let counted = r#"agatemill_dropped_answers_total{reason="unconfirmed_not_run"} 1"#;
            assert!(metrics.contains(counted), "{metrics}");
        });
    }
}

/// Guards against a stream that runs twice, because its failed engine answers with a status which promises that it did not
/// run.
#[test]
fn a_failed_stream_is_not_reported_as_not_run() {
    for status in [408, 429, 503] {
        run_test(2, |system| async move {
            fail_all(&system.engines, status);
            let response = system.send("once", "a1").await;
            assert_eq!(system.run_count("a1"), 1);
            assert_promises_nothing(&response);
        });
    }
}

/// Guards against requests that may run again and fail although another server would serve them.
#[test]
fn a_request_that_may_run_again_is_sent_to_another_server() {
    run_test(4, |system| async move {
        fail_all(&system.services[..1], 503);
        let is_served = |response: &Response| assert_eq!(response.status, 200, "{response:?}");
        let failing = &system.services[0];
        system.reach_with("read", failing, is_served).await;
        for number in 0..6 {
            is_served(&system.send("read", &format!("r{number}")).await);
        }
        let failing = system.first_engine();
        failing.set_behaviour(Behaviour::Status(503));
        let is_complete = |response: &Response| assert_eq!(response.body, complete_stream());
        system.reach_with("draft", failing, is_complete).await;
        for number in 0..6 {
            is_complete(&system.send("draft", &format!("d{number}")).await);
        }
    });
}

/// Guards against requests that may run again and are reported as not run after all their servers have run them.
#[test]
fn a_request_that_ran_at_several_servers_is_not_reported_as_not_run() {
    run_test(4, |system| async move {
        fail_all(&system.services, 503);
        fail_all(&system.engines, 503);
        for (route, attempt) in [("read", "r1"), ("draft", "d1")] {
            let response = system.send(route, attempt).await;
            assert_eq!(system.run_count(attempt), 2);
            assert_promises_nothing(&response);
        }
    });
}
