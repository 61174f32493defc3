//! Tests of engines that are lost and are named as the cause by others.

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use crate::system::System;
use crate::system::settings;
use agatemill_fleet::Evidence;
use agatemill_gateway::Process;
use agatemill_standin::Engine;
use agatemill_standin::engine::Behaviour;

/// Time for which streams are sent, longer than an engine that rejects requests is avoided.
const TEST_TIME: Duration = Duration::from_secs(2);

/// Pause between streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(25);

/// Time in which a sound engine that did not respond to a query on a busy machine responds to the next one, shorter than a
/// suspicion lasts that no query ends.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Interval between looks at what a host suspects.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// An engine that does not hold the first layers.
fn last_engine(system: &System) -> &Engine {
    let mut engines = system.engines.iter();
    let last = engines.find(|engine| engine.orders().last().unwrap()["from"] != 0);
    last.unwrap()
}

fn is_suspected(host: &Process, engine: &Engine) -> bool {
    let now = agatemill_runtime::now();
    let suspicion = host.state().suspicion();
    suspicion.is_suspected(&engine.address, now)
}

/// Number of streams whose path has an engine.
fn paths_through(system: &System, engine: &Engine) -> usize {
    let arrivals = system.engines.iter().flat_map(Engine::arrivals);
    arrivals
        .filter(|arrival| arrival.passes(Some(engine.address)))
        .count()
}

/// Guards against streams that are sent through a lost engine again and again, whenever the short time is over for which an
/// engine is avoided that rejects requests. Each of them loses an attempt, and the retry budget an entry.
#[test]
fn a_lost_engine_that_others_name_is_avoided_until_it_responds() {
    run_test(4, |system| async move {
        let lost = last_engine(&system);
        lost.pause(Duration::from_secs(20));
        for engine in &system.engines {
            engine.set_faulty(Some(lost.address));
            engine.set_behaviour(Behaviour::RejectThrough);
        }
        for number in 0.. {
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream());
            if paths_through(&system, lost) > 0 {
                break;
            }
        }
        system
            .wait_until("the engine is found lost", || {
                is_suspected(&system.process, lost)
            })
            .await;
        let before = paths_through(&system, lost);
        let end = agatemill_runtime::now() + TEST_TIME;
        let mut number = 0;
        while agatemill_runtime::now() < end {
            let response = system.send("draft", &format!("b{number}")).await;
            assert_eq!(response.body, complete_stream());
            number += 1;
            agatemill_runtime::sleep(STREAM_INTERVAL).await;
        }
        assert_eq!(
            paths_through(&system, lost) - before,
            0,
            "of {number} streams"
        );
    });
}

/// Guards against hosts that each lose requests to find out what another one has found out, and against a host that makes all
/// others avoid engines to which only its own links are cut.
#[test]
fn hosts_tell_each_other_of_lost_engines_and_check_what_they_are_told() {
    run_test(4, |system| async move {
        let other = Process::start(settings("h2", system.store_address))
            .await
            .unwrap();
        system
            .wait_until("the hosts know each other", || {
                let known = |process: &Process| process.state().view().members.len();
                known(&system.process) == 2 && known(&other) == 2
            })
            .await;
        let lost = last_engine(&system);
        let sound = system.first_engine();
        lost.pause(Duration::from_secs(20));
        for engine in [lost, sound] {
            let state = system.process.state();
            state.suspect(engine.address, Evidence::Awaited);
        }
        system
            .wait_until("the other host finds the engine lost", || {
                is_suspected(&other, lost)
            })
            .await;
        let end = agatemill_runtime::now() + RECOVERY_TIME;
        while is_suspected(&other, sound) {
            assert!(
                agatemill_runtime::now() < end,
                "the engine responds to the other host"
            );
            agatemill_runtime::sleep(LOOK_INTERVAL).await;
        }
        other.close().await;
    });
}
