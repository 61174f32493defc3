//! Tests of second runs of streams whose engines respond or end while the runs are prepared.

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use crate::system::System;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::server;
use agatemill_standin::Engine;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;

/// Guards against an engine's own error response that is replaced because a second run was being prepared.
#[test]
fn an_error_response_during_the_search_for_a_second_run_is_passed_on() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::Status(500));
            // No path is left for a second run, so the search takes from 1.25 s to 1.5 s after the request.
            engine.pause(Duration::from_millis(1_380));
        }
        let response = system.send("draft", "a1").await;
        assert_eq!(
            (response.status.as_u16(), response.body.as_str()),
            (500, "failed")
        );
    });
}

/// The two engines that hold the first layers.
fn first_engines(system: &System) -> [Engine; 2] {
    let is_first = |engine: &&Engine| engine.orders().last().unwrap()["from"] == 0;
    let first: Vec<Engine> = system.engines.iter().filter(is_first).cloned().collect();
    first.try_into().ok().unwrap()
}

async fn set_state(system: &System, engine: &Engine, text: &str, state: server::State) {
    engine.set_entry("state", text.into());
    let name: agatemill_core::id::Service = "model".parse().unwrap();
    let is_known = || {
        let view = system.process.state().view();
        let servers = view.servers(&name);
        let server = servers
            .iter()
            .find(|server| server.address == engine.address);
        server.is_some_and(|server| server.state == state)
    };
    system
        .wait_until("the view lists the state", is_known)
        .await;
}

/// Guards against a stream that is cut although a retry is kept for it, because its engine ended during the search for a
/// second run.
#[test]
fn a_stream_whose_silent_engine_ends_uses_the_retries_kept_for_it() {
    run_test(4, |system| async move {
        let document = document::routes(4, r#""k1","k2""#);
        let document =
            document.replace(r#""target-latency-ms":500"#, r#""target-latency-ms":3000"#);
        system.store.put(document::KEY, &document);
        let [first, other] = first_engines(&system);
        set_state(&system, &other, "draining", server::State::Draining).await;
        first.set_behaviour(Behaviour::PauseAt {
            event: 2,
            ms: 10_000,
        });
        let ending = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let is_silent = || {
                let now = agatemill_runtime::now();
                let suspicion = system.process.state().suspicion();
                suspicion.is_unreachable(&first.address, now)
            };
            system.wait_until("the engine is silent", is_silent).await;
            agatemill_runtime::sleep(Duration::from_millis(100)).await;
            let name: agatemill_core::id::Service = "model".parse().unwrap();
            while system.process.state().take_retry(&name, Purpose::Backup) {}
            first.crash();
            agatemill_runtime::sleep(Duration::from_millis(150)).await;
            other.set_entry("state", "ready".into());
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), ending);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
    });
}

/// Guards against a stream that waits until its deadline for an engine that has ended, because another one responds at
/// its address.
#[test]
fn a_stream_whose_engine_was_replaced_at_its_address_goes_on_elsewhere() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        let replacing = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let has_run = |engine: &&Engine| !engine.arrivals().is_empty();
            let first = system.engines.iter().find(has_run).unwrap();
            for engine in &system.engines {
                if engine.id != first.id {
                    engine.set_behaviour(Behaviour::Serve);
                }
            }
            let key = format!("servers/{}", first.id);
            let entry = system.store.value(&key).unwrap();
            system.store.remove(&key);
            system.store.put("servers/e9", &entry);
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), replacing);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert_eq!(system.run_count("a1"), 2);
    });
}

/// Guards against a stream that is cut with seconds left, because its engine ended while the others were silent.
#[test]
fn a_stream_whose_engine_ends_waits_for_a_silent_one() {
    run_test(4, |system| async move {
        let [first, other] = first_engines(&system);
        set_state(&system, &other, "draining", server::State::Draining).await;
        first.set_behaviour(Behaviour::StallAfter(2));
        let ending = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            agatemill_runtime::sleep(Duration::from_millis(100)).await;
            first.crash();
            agatemill_runtime::sleep(Duration::from_secs(1)).await;
            other.set_entry("state", "ready".into());
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), ending);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
    });
}

/// Guards against streams that are cut because other streams have used the retries up for a moment.
#[test]
fn a_stream_whose_engine_ends_waits_for_a_retry() {
    run_test(4, |system| async move {
        let name: agatemill_core::id::Service = "model".parse().unwrap();
        let state = system.process.state();
        while state.take_retry(&name, Purpose::Retry) {}
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(2));
        }
        let earning = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            agatemill_runtime::sleep(Duration::from_millis(700)).await;
            (0..20).for_each(|_| state.count_request(&name));
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), earning);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
    });
}

/// Guards against streams that are cut with seconds left, because the other engines rejected them several times in a moment.
#[test]
fn a_stream_whose_engine_ends_waits_for_engines_that_reject_it() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::BreakAfter(2));
        }
        let rejecting = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            for engine in &system.engines {
                engine.set_behaviour(Behaviour::Reject);
            }
            agatemill_runtime::sleep(Duration::from_millis(1_200)).await;
            for engine in &system.engines {
                engine.set_behaviour(Behaviour::Serve);
            }
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), rejecting);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
    });
}

/// Guards against a stream that waits until its deadline for an engine that has ended, because it was started again under its
/// name and responds.
#[test]
fn a_stream_whose_engine_was_started_again_goes_on_elsewhere() {
    run_test(4, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        let restarting = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let has_run = |engine: &&Engine| !engine.arrivals().is_empty();
            let first = system.engines.iter().find(has_run).unwrap();
            for engine in &system.engines {
                if engine.id != first.id {
                    engine.set_behaviour(Behaviour::Serve);
                }
            }
            first.restart_empty();
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), restarting);
        assert_eq!(response.body, complete_stream());
        assert!(response.is_complete);
        assert_eq!(system.run_count("a1"), 2);
    });
}
