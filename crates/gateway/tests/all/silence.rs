//! Tests of servers that are silent for a while and then go on, while their connections stay open.

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use crate::system::System;
use agatemill_core::id;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::prompt::Prompt;
use agatemill_fleet::tally::Key;
use agatemill_standin::Engine;
use agatemill_standin::caller::Call;
use agatemill_standin::engine::Behaviour;

/// Lets every engine fall silent when it is about to send the third event.
fn pause_all(system: &System, ms: u64) {
    for engine in &system.engines {
        engine.set_behaviour(Behaviour::PauseAt { event: 2, ms });
    }
}

/// Guards against a stream that is cut because its engine was silent, although it may not run again.
#[test]
fn a_stream_that_may_run_once_outlasts_a_silent_engine() {
    run_test(4, |system| async move {
        pause_all(&system, 1_500);
        let response = system.send("once", "a1").await;
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert_eq!(system.run_count("a1"), 1);
    });
}

/// Guards against a request that is failed because its engine was silent before the head of its response.
#[test]
fn a_stream_that_may_run_once_waits_for_the_head_of_a_silent_engine() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.pause(Duration::from_millis(1_600));
        }
        let response = system.send("once", "a1").await;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body, complete_stream());
        assert_eq!(system.run_count("a1"), 1);
    });
}

/// Guards against a stream that is cut because both engines that it may run on are silent at the same time.
#[test]
fn a_stream_outlasts_a_silence_of_all_its_engines() {
    run_test(4, |system| async move {
        pause_all(&system, 1_600);
        let all = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            for engine in &system.engines {
                engine.pause(Duration::from_millis(1_600));
            }
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), all);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert!(system.run_count("a1") <= 2);
    });
}

/// Guards against callers that wait for an engine that stays silent until they give up, after two seconds.
#[test]
fn a_stream_continues_at_another_engine_while_its_own_is_silent() {
    run_test(4, |system| async move {
        let pausing = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let mut engines = system.engines.iter();
            let first = engines.find(|engine| !engine.arrivals().is_empty());
            first.unwrap().pause(Duration::from_millis(3_500));
        };
        let start = agatemill_runtime::now();
        let (response, ()) = futures::join!(system.send("draft", "a1"), pausing);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert_eq!(system.run_count("a1"), 2);
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken < Duration::from_secs(2), "{taken:?}");
    });
}

/// Guards against a second run without a head that replaces a first one which has become ready to go on.
#[test]
fn the_run_that_delivers_the_next_event_first_continues_a_stream() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::PauseAt { event: 3, ms: 900 });
        }
        let pausing = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            for engine in &system.engines {
                if engine.arrivals().is_empty() {
                    engine.pause(Duration::from_secs(5));
                }
            }
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), pausing);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        let arrivals = system.engines.iter().flat_map(Engine::arrivals);
        let seal = response.headers["x-response-seal"].to_str().unwrap();
        let first = arrivals.min_by_key(|arrival| arrival.at).unwrap();
        assert_eq!(first.server, seal);
    });
}

/// Guards against a stream that is cut while its engine is silent because no retry is left.
#[test]
fn a_stream_without_retries_outlasts_a_silent_engine() {
    run_test(4, |system| async move {
        let name: id::Service = "model".parse().unwrap();
        let state = system.process.state();
        while state.take_retry(&name, Purpose::Retry) {}
        pause_all(&system, 1_500);
        let response = system.send("draft", "a1").await;
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert_eq!(system.run_count("a1"), 1);
    });
}

/// Guards against silent engines whose streams use up the retries that streams of crashed engines need.
#[test]
fn silent_engines_leave_retries_for_lost_ones() {
    run_test(2, |system| async move {
        let name: id::Service = "model".parse().unwrap();
        let state = system.process.state();
        while state.take_retry(&name, Purpose::Backup) {}
        assert!(state.take_retry(&name, Purpose::Retry));
    });
}

/// Guards against an idempotent call that is dropped at a silent server which would have responded in time.
#[test]
fn a_call_is_answered_by_the_server_that_responds_first() {
    run_test(2, |system| async move {
        let pausing = async {
            system
                .wait_until("the call runs", || system.run_count("r1") > 0)
                .await;
            for server in &system.services {
                let is_first = !server.arrivals().is_empty();
                let ms = if is_first { 2_700 } else { 5_000 };
                server.pause(Duration::from_millis(ms));
            }
        };
        for server in &system.services {
            server.set_behaviour(Behaviour::Slow(200));
        }
        let (response, ()) = futures::join!(system.send("read", "r1"), pausing);
        assert_eq!(response.status, 200, "{response:?}");
        assert!(system.run_count("r1") <= 2);
    });
}

/// Guards against an engine that is avoided for seconds after it responds again.
#[test]
fn an_engine_that_responds_again_is_used() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.pause(Duration::from_millis(1_200));
        }
        let response = system.send("draft", "a1").await;
        assert_eq!(response.status, 200, "{response:?}");
        let start = agatemill_runtime::now();
        assert_eq!(system.send("draft", "a2").await.body, complete_stream());
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken < Duration::from_secs(1), "{taken:?}");
    });
}

/// Guards against streams of a silent engine that wait for the report queries of each other.
#[test]
fn all_streams_of_a_silent_engine_continue_at_another_one_in_time() {
    run_test(4, |system| async move {
        assert_eq!(system.send("draft", "a0").await.status, 200);
        let silent = system.first_engine();
        silent.pause(Duration::from_secs(6));
        let start = agatemill_runtime::now();
        let attempts: Vec<String> = (1..=24).map(|number| format!("a{number}")).collect();
        let sending = attempts.iter().map(|attempt| system.send("draft", attempt));
        for response in futures::future::join_all(sending).await {
            assert_eq!(response.status, 200, "{response:?}");
            assert_eq!(response.body, complete_stream());
        }
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken < Duration::from_secs(2), "{taken:?}");
        let silenced = silent.arrivals().len();
        assert!(silenced > 4, "{silenced} streams met the silent engine");
    });
}

/// Guards against requests that are refused for seconds because an engine, for which others have waited, is avoided although
/// streams pass through it again.
#[test]
fn an_engine_that_streams_pass_through_again_is_used() {
    run_test(2, |system| async move {
        let first = system.first_engine();
        let mut engines = system.engines.iter();
        let second = engines.find(|engine| engine.id != first.id).unwrap();
        first.set_behaviour(Behaviour::StallAfter(2));
        first.set_stalled("a1", second.address);
        let silence = async {
            let is_suspected = || {
                let now = agatemill_runtime::now();
                let suspicion = system.process.state().suspicion();
                suspicion.is_suspected(&second.address, now)
            };
            system
                .wait_until("the second engine is suspected", is_suspected)
                .await;
            agatemill_runtime::sleep(Duration::from_millis(500)).await;
            first.clear_stalled();
            agatemill_runtime::sleep(Duration::from_millis(200)).await;
            first.set_behaviour(Behaviour::Serve);
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), silence);
        assert_eq!(response.body, complete_stream());
        let response = system.send("draft", "a2").await;
        assert_eq!(response.body, complete_stream(), "{response:?}");
    });
}

/// Guards against a stream that waits for a silent engine until its caller leaves, because it decides about a part of its prompt
/// that was there when another engine crashed.
#[test]
fn a_stream_with_a_suspected_part_continues_at_another_engine() {
    run_test(4, |system| async move {
        let prompt = Prompt {
            shared: vec!["5eed0001".parse().unwrap()],
            own: Some("1".parse().unwrap()),
        };
        let crashed = Key::from(&"e9".parse::<id::Server>().unwrap());
        let now = agatemill_runtime::now();
        let state = system.process.state();
        state.quarantine().record_crash(&prompt, crashed, now);
        let pausing = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let mut engines = system.engines.iter();
            let first = engines.find(|engine| !engine.arrivals().is_empty());
            first.unwrap().pause(Duration::from_millis(3_500));
        };
        let call = Call {
            prompt: "5eed0001:40,1:60",
            ..system.call("draft", "a1")
        };
        let start = agatemill_runtime::now();
        let (response, ()) = futures::join!(system.send_call(call), pausing);
        assert_eq!(response.body, complete_stream());
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken < Duration::from_secs(2), "{taken:?}");
        assert_eq!(system.run_count("a1"), 2);
    });
}

/// Guards against a server that new calls avoid as silent although it has responded, because another one is silent.
#[test]
fn a_server_that_responds_does_not_count_as_silent() {
    run_test(2, |system| async move {
        let [responding, silent] = system.services.as_slice() else {
            panic!("there are two servers");
        };
        responding.set_behaviour(Behaviour::Reject);
        silent.pause(Duration::from_secs(5));
        let call = Call {
            deadline: Duration::from_millis(1_500),
            ..system.call("read", "r1")
        };
        let state = system.process.state();
        let is_avoided = |server: &Engine| {
            let now = agatemill_runtime::now();
            state.suspicion().is_avoided(&server.address, now)
        };
        let avoidance = system.wait_until("the silent server is avoided", || is_avoided(silent));
        let (response, ()) = futures::join!(system.send_call(call), avoidance);
        assert!(response.status.is_server_error(), "{response:?}");
        assert!(!is_avoided(responding));
    });
}
