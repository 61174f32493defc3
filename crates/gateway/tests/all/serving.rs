//! Requests of callers.

use crate::play;
use crate::whole_stream;
use agatemill_standin::Engine;
use agatemill_standin::engine::Behaviour;

/// Guards against layers that are run twice or left out, keys that reach engines, and changed answers.
#[test]
fn a_stream_passes_every_layer_once() {
    play(2, |system| async move {
        let answer = system.ask("draft", "a1").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, whole_stream());
        assert!(answer.headers.contains_key("x-response-seal"));
        let arrivals: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        assert_eq!(arrivals.len(), 1, "only the first engine is asked");
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

/// Guards against events that are lost or repeated where two runs of a stream are joined.
#[test]
fn a_broken_stream_goes_on_at_another_engine() {
    play(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(3));
        }
        let answer = system.ask("draft", "a1").await;
        let resumed: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        assert_eq!(resumed.len(), 2, "{answer:?}");
        assert_eq!(answer.body, whole_stream());
        assert!(answer.is_whole);
        assert!(
            resumed
                .iter()
                .any(|arrival| arrival.last_event.as_deref() == Some("2"))
        );
    });
}

/// Guards against a stream that runs on more engines than its route allows, because each run breaks.
#[test]
fn a_stream_that_breaks_again_is_given_up() {
    play(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakEachAfter(1));
        }
        let answer = system.ask("draft", "a1").await;
        assert!(!answer.is_whole);
        assert_eq!(system.runs("a1"), 2);
    });
}

/// Guards against a stream that runs twice though its route does not allow that, and against an end that
/// looks whole.
#[test]
fn a_broken_stream_that_may_not_be_resumed_is_cut() {
    play(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(3));
        }
        let answer = system.ask("once", "a1").await;
        assert!(!answer.is_whole);
        assert_eq!(system.runs("a1"), 1);
    });
}

/// Guards against streams that wait for a lost engine until their callers give up.
#[test]
fn a_stalled_stream_is_sent_around_the_lost_engine() {
    play(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        let losing = async {
            system
                .until("the stream runs", || system.runs("a1") > 0)
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
        let (answer, (first, lost)) = futures::join!(system.ask("draft", "a1"), losing);
        assert_eq!(answer.body, whole_stream());
        let orders = first.orders();
        let repath = orders.iter().find(|order| order["op"] == "repath").unwrap();
        assert_eq!(repath["id"], "a1");
        let path = repath["path"].as_str().unwrap();
        assert!(
            !path.contains(&lost) && path.starts_with(&first.address.to_string()),
            "{path}"
        );
        assert_eq!(system.runs("a1"), 1, "the stream was not started anew");
    });
}

/// Guards against a payment that runs twice because the answer to the first was lost.
#[test]
fn a_call_whose_outcome_is_unknown_is_not_repeated() {
    play(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Reset);
        }
        let answer = system.ask("pay", "p1").await;
        assert_eq!(answer.status, 502);
        assert_eq!(system.runs("p1"), 1);
    });
}

/// Guards against a late answer to another request that is passed on as the answer to this one.
#[test]
fn an_answer_to_another_attempt_is_dropped() {
    play(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::AnswerOther);
        }
        let answer = system.ask("pay", "p1").await;
        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("x-response-seal"));
    });
}

/// Guards against a payment that is given up though a server stated that it did not run it.
#[test]
fn a_rejected_call_is_offered_to_another_server() {
    play(2, |system| async move {
        system.services[0].set_behaviour(Behaviour::Reject);
        for number in 0..6 {
            let answer = system.ask("pay", &format!("p{number}")).await;
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body, "done by s1");
        }
    });
}

/// Guards against a refusal that hides that nothing ran, or does not say when to come back.
#[test]
fn a_call_that_all_servers_reject_is_refused_as_not_run() {
    play(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Reject);
        }
        let answer = system.ask("pay", "p1").await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
    });
}

/// Guards against idempotent calls that fail with the first server that does.
#[test]
fn an_idempotent_call_is_repeated() {
    play(2, |system| async move {
        system.services[0].set_behaviour(Behaviour::Reset);
        for number in 0..6 {
            let answer = system.ask("read", &format!("r{number}")).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    });
}

/// Guards against requests that reach servers though the configuration does not allow them.
#[test]
fn unknown_routes_and_keys_and_large_bodies_are_refused() {
    play(2, |system| async move {
        assert_eq!(system.ask("nowhere", "n1").await.status, 404);
        assert_eq!(system.ask_with("pay", "n2", "k9", "").await.status, 401);
        assert_eq!(
            system
                .ask_with("pay", "n3", "k1", &"x".repeat(1_001))
                .await
                .status,
            413
        );
        assert_eq!(system.ask_with("open", "n4", "k9", "").await.status, 200);
        for attempt in ["n1", "n2", "n3"] {
            assert_eq!(system.runs(attempt), 0, "{attempt} ran");
        }
    });
}
