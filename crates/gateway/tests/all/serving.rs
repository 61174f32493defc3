//! Tests of requests of callers.

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use agatemill_standin::Engine;
use agatemill_standin::engine::Behaviour;

/// Guards against layers that run twice or not at all, API keys that reach engines, and modified responses.
#[test]
fn a_stream_passes_every_layer_once() {
    run_test(2, |system| async move {
        let response = system.send("draft", "a1").await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body, complete_stream());
        assert!(response.headers.contains_key("x-response-seal"));
        let arrivals: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        assert_eq!(
            arrivals.len(),
            1,
            "the request is sent to the first engine only"
        );
        let path = arrivals[0].path.clone().unwrap();
        let mut ranges: Vec<&str> = path
            .split(',')
            .map(|part| part.split_once('=').unwrap().1)
            .collect();
        assert!(
            ranges[0].starts_with("0-") && ranges.pop().unwrap().ends_with("-8"),
            "{path}"
        );
        assert_eq!(arrivals[0].organisation.as_deref(), Some("office"));
        assert!(!arrivals[0].has_key);
        assert_eq!(arrivals[0].body, "please");
    });
}

/// Guards against events that are lost or repeated at the point where a stream is resumed.
#[test]
fn a_broken_stream_is_resumed_at_another_engine() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(3));
        }
        let response = system.send("draft", "a1").await;
        let resumed: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        assert_eq!(resumed.len(), 2, "{response:?}");
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert!(
            resumed
                .iter()
                .any(|arrival| arrival.last_event.as_deref() == Some("2"))
        );
    });
}

/// Guards against a stream that keeps breaking and runs on more engines than its route allows.
#[test]
fn a_stream_that_breaks_repeatedly_fails() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakEachAfter(1));
        }
        let response = system.send("draft", "a1").await;
        assert!(!response.is_complete);
        assert_eq!(system.run_count("a1"), 2);
    });
}

/// Guards against a stream that runs on more engines than its route allows because engines that live are silent.
#[test]
fn a_stream_at_silent_engines_runs_no_more_often_than_allowed() {
    run_test(6, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::Silent);
        }
        let start = agatemill_runtime::now();
        let response = system.send("draft", "a1").await;
        assert_eq!(response.status, 504, "{response:?}");
        assert_eq!(system.run_count("a1"), 2);
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken >= Duration::from_millis(3_900), "{taken:?}");
    });
}

/// Guards against failed streams that count as in progress for ever.
#[test]
fn a_failed_stream_is_no_longer_in_flight() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::Status(500));
        }
        let response = system.send("draft", "a1").await;
        assert_eq!(
            (response.status.as_u16(), response.body.as_str()),
            (500, "failed")
        );
        let uri = format!("http://{}/", system.process.state().settings().metrics);
        let (_, metrics) = system.get(&uri).await;
        let line = metrics
            .lines()
            .find(|line| line.starts_with("agatemill_in_flight"));
        assert!(line.unwrap().ends_with(" 0"), "{line:?}");
    });
}

/// Guards against a second run of a stream whose route does not allow one, and against a truncated body that
/// looks complete.
#[test]
fn a_broken_stream_that_is_not_resumable_is_aborted() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(3));
        }
        let response = system.send("once", "a1").await;
        assert!(!response.is_complete);
        assert_eq!(system.run_count("a1"), 1);
    });
}

/// Guards against streams that wait for a lost engine until their callers give up.
#[test]
fn a_stalled_stream_is_rerouted_around_the_lost_engine() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        let losing = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let first = system
                .engines
                .iter()
                .find(|engine| !engine.arrivals().is_empty())
                .unwrap();
            let path = first.arrivals()[0].path.clone().unwrap();
            let second = path.split(',').nth(1).unwrap().split_once('=').unwrap().0;
            first.set_stalled("a1", second.parse().unwrap());
            (first.clone(), second.to_owned())
        };
        let (response, (first, lost)) = futures::join!(system.send("draft", "a1"), losing);
        assert_eq!(response.body, complete_stream());
        let orders = first.orders();
        let repath = orders.iter().find(|order| order["op"] == "repath").unwrap();
        assert_eq!(repath["id"], "a1");
        let path = repath["path"].as_str().unwrap();
        assert!(
            !path.contains(&lost) && path.starts_with(&first.address.to_string()),
            "{path}"
        );
        assert_eq!(system.run_count("a1"), 1, "the stream was not restarted");
    });
}

/// Guards against a payment that runs twice because the first response was lost.
#[test]
fn a_call_whose_outcome_is_unknown_is_not_retried() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Reset);
        }
        let response = system.send("pay", "p1").await;
        assert_eq!(response.status, 502);
        assert_eq!(system.run_count("p1"), 1);
    });
}

/// Guards against a late response to another request that is returned as the response to this one.
#[test]
fn a_response_to_another_attempt_is_dropped() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::AnswerOther);
        }
        let response = system.send("pay", "p1").await;
        assert_eq!(response.status, 502);
        assert!(!response.headers.contains_key("x-response-seal"));
    });
}

/// Guards against a payment that fails although a server stated that it did not run it, so that it could be
/// retried.
#[test]
fn a_rejected_call_is_retried_at_another_server() {
    run_test(2, |system| async move {
        system.services[0].set_behaviour(Behaviour::Reject);
        for number in 0..6 {
            let response = system.send("pay", &format!("p{number}")).await;
            assert_eq!(response.status, 200);
            assert_eq!(response.body, "done by s1");
        }
    });
}

/// Guards against a refusal that does not show that nothing ran, or lacks `Retry-After`.
#[test]
fn a_call_that_all_servers_reject_is_refused_as_not_run() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Reject);
        }
        let response = system.send("pay", "p1").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
    });
}

/// Guards against idempotent calls that fail because one server fails.
#[test]
fn an_idempotent_call_is_retried() {
    run_test(2, |system| async move {
        system.services[0].set_behaviour(Behaviour::Reset);
        for number in 0..6 {
            let response = system.send("read", &format!("r{number}")).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    });
}

/// Guards against requests that reach servers although the configuration does not allow them.
#[test]
fn unknown_routes_and_keys_and_large_bodies_are_refused() {
    run_test(2, |system| async move {
        assert_eq!(system.send("nowhere", "n1").await.status, 404);
        assert_eq!(system.send_with("pay", "n2", "k9", "").await.status, 401);
        assert_eq!(
            system
                .send_with("pay", "n3", "k1", &"x".repeat(1_001))
                .await
                .status,
            413
        );
        assert_eq!(system.send_with("open", "n4", "k9", "").await.status, 200);
        for attempt in ["n1", "n2", "n3"] {
            assert_eq!(system.run_count(attempt), 0, "{attempt} ran");
        }
    });
}
