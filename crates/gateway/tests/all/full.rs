//! Tests of servers that have all the connections that they accept, and refuse further ones.

use core::time::Duration;
use std::net::TcpStream;

use crate::complete_stream;
use crate::run_test;
use crate::system::System;
use agatemill_gateway::stall;
use agatemill_standin::Engine;
use agatemill_standin::engine::Behaviour;

/// Time within which the end of a server is known.
const PROMPTLY: Duration = Duration::from_millis(500);

/// Lets every engine fall silent when it is about to send the third event, and makes it full once it runs the stream.
async fn fill_silent_engines(system: &System, attempt: &str, ms: u64) {
    for engine in &system.engines {
        engine.set_behaviour(Behaviour::PauseAt { event: 2, ms });
    }
    system
        .wait_until("the stream runs", || system.run_count(attempt) > 0)
        .await;
    agatemill_runtime::sleep(Duration::from_millis(30)).await;
    for engine in &system.engines {
        fill(system, engine).await;
    }
}

/// Makes a server full, and waits until it refuses connections.
pub async fn fill(system: &System, server: &Engine) {
    server.fill();
    let refuses = || TcpStream::connect(server.address).is_err();
    system
        .wait_until("the server refuses connections", refuses)
        .await;
}

/// Guards against a stream that is cut because its engine, which is silent for a moment, refuses further connections.
#[test]
fn a_stream_that_may_run_once_outlasts_a_full_engine() {
    run_test(2, |system| async move {
        let filling = fill_silent_engines(&system, "a1", 1_000);
        let (response, ()) = futures::join!(system.send("once", "a1"), filling);
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.body, complete_stream());
        assert_eq!(system.run_count("a1"), 1);
    });
}

/// Guards against a broken connection to a full server that counts as its crash, and against the crash of a server that is
/// noticed late.
#[test]
fn a_full_server_has_not_ended_until_it_closes_its_connections() {
    run_test(2, |system| async move {
        let first = system.first_engine();
        let state = system.process.state().clone();
        let checks = async {
            fill_silent_engines(&system, "a1", 1_500).await;
            assert!(!stall::has_ended(&state, first.address).await);
            first.crash();
            let start = agatemill_runtime::now();
            while !stall::has_ended(&state, first.address).await {
                let taken = agatemill_runtime::now().saturating_sub(start);
                assert!(taken < PROMPTLY, "{taken:?}");
                agatemill_runtime::sleep(Duration::from_millis(1)).await;
            }
        };
        let (response, ()) = futures::join!(system.send("once", "a1"), checks);
        assert!(!response.is_complete, "{response:?}");
    });
}

/// Guards against a resumable stream that waits for an engine that may have ended until its caller leaves.
#[test]
fn a_resumable_stream_continues_beside_a_full_engine_that_is_silent() {
    run_test(4, |system| async move {
        let full = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let mut engines = system.engines.iter();
            let first = engines.find(|engine| !engine.arrivals().is_empty());
            let first: &Engine = first.unwrap();
            first.pause(Duration::from_millis(3_500));
            fill(&system, first).await;
        };
        let start = agatemill_runtime::now();
        let (response, ()) = futures::join!(system.send("draft", "a1"), full);
        assert_eq!(response.body, complete_stream());
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken < Duration::from_secs(2), "{taken:?}");
    });
}
