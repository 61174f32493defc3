//! Tests of servers that ask for no requests for a while.

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use crate::system::Response;
use crate::system::System;
use agatemill_core::id;
use agatemill_fleet::Evidence;
use agatemill_standin::Engine;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;

/// Time from the answer after which requests that were under way have arrived.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Requests that may reach a server after [`SETTLE_TIME`].
const MAX_REQUESTS: usize = 2;

/// Requests in progress at once.
const SENDERS: usize = 6;

/// Time within which a request is rejected that no server may get; far below the time that it may wait.
const PROMPTLY: Duration = Duration::from_millis(150);

fn turn_away(server: &Engine, behaviour: Behaviour, text: &str) {
    server.set_retry_after(Some(text));
    server.set_behaviour(behaviour);
}

/// Sends requests for `time`; returns the responses. Leaves out those to requests whose keys were not checked because the
/// view of the store was too old, as on a machine that is too busy for the host to follow the store.
async fn press(system: &System, route: &str, time: Duration) -> Vec<Response> {
    let end = agatemill_runtime::now() + time;
    let started = agatemill_runtime::now().as_micros();
    let sender = async |sender: usize| {
        let mut responses = Vec::new();
        for number in 0.. {
            if agatemill_runtime::now() >= end {
                break;
            }
            let attempt = format!("{started}-{sender}-{number}");
            let response = system.send(route, &attempt).await;
            if !response.body.starts_with("stale_configuration") {
                responses.push(response);
            }
            agatemill_runtime::sleep(Duration::from_millis(20)).await;
        }
        responses
    };
    let responses = futures::future::join_all((0..SENDERS).map(sender)).await;
    responses.into_iter().flatten().collect()
}

/// Requests that reached a server from [`SETTLE_TIME`] after its first response until `wait` after it.
fn late_requests(server: &Engine, wait: Duration) -> usize {
    let arrivals = server.arrivals();
    let start = arrivals.first().expect("the server got a request").at;
    let late = start + SETTLE_TIME..start + wait;
    arrivals
        .iter()
        .filter(|arrival| late.contains(&arrival.at))
        .count()
}

/// The engines that hold the first layers.
fn first_engines(system: &System) -> Vec<&Engine> {
    let engines = system.engines.iter();
    engines
        .filter(|engine| engine.orders().last().unwrap()["from"] == 0)
        .collect()
}

/// Sends requests to a server that serves again, until it receives one.
async fn assert_used_again(system: &System, route: &str, server: &Engine) {
    server.set_behaviour(Behaviour::Serve);
    system.reach(route, server).await;
}

/// The `Retry-After` of a rejection, in seconds.
fn retry_after(response: &Response) -> f64 {
    assert_eq!(response.status, 503, "{response:?}");
    let text = response.headers["retry-after"].to_str().unwrap();
    text.parse().unwrap()
}

/// Sends requests that no server may get for some 3 s. On a busy machine, single responses may be late.
async fn assert_rejected_promptly(system: &System, route: &str) {
    let mut fastest = Duration::MAX;
    for attempt in ["p1", "p2", "p3"] {
        let start = agatemill_runtime::now();
        let wait = retry_after(&system.send(route, attempt).await);
        fastest = fastest.min(agatemill_runtime::now().saturating_sub(start));
        assert!((2.0..=4.6).contains(&wait), "{wait}");
        assert_eq!(system.run_count(attempt), 0);
    }
    assert!(fastest < PROMPTLY, "{fastest:?}");
}

/// Gives the routes a target latency of 4 s, so that a request may wait for 2 s.
async fn use_slow_routes(system: &System) {
    let routes = document::routes(4, r#""k1""#);
    let routes = routes.replace(r#""target-latency-ms":500"#, r#""target-latency-ms":4000"#);
    system.store.put("op/config", &routes);
    let state = system.process.state();
    system
        .wait_until("version 4 is in force", || {
            let view = state.view();
            let version = view.configuration.as_ref().map(|known| known.version);
            version == Some(4)
        })
        .await;
}

/// Makes all servers to which requests of a route are sent ask for no requests, and serve again.
async fn turn_all_away<'a>(system: &'a System, route: &str, text: &str) -> Vec<&'a Engine> {
    let servers: Vec<&Engine> = if route == "draft" {
        first_engines(system)
    } else {
        system.services.iter().collect()
    };
    for server in &servers {
        turn_away(server, Behaviour::Reject, text);
    }
    for number in 0.. {
        let response = system.send(route, &format!("rejected-{number}")).await;
        if response.body.contains("ask for no requests") {
            break;
        }
    }
    for server in &servers {
        server.set_behaviour(Behaviour::Serve);
    }
    servers
}

fn plain() -> id::Service {
    "plain".parse().unwrap()
}

/// Guards against streams that are sent to an engine during the time for which it wants none.
#[test]
fn streams_leave_an_engine_alone_for_the_time_that_it_names() {
    run_test(4, |system| async move {
        // Longer than an engine that rejects each request is avoided.
        let wait = Duration::from_secs(5);
        let busy = first_engines(&system)[0];
        turn_away(busy, Behaviour::Reject, "5");
        system.reach("draft", busy).await;
        let responses = press(&system, "draft", Duration::from_millis(4_600)).await;
        assert!(late_requests(busy, wait) <= MAX_REQUESTS);
        assert!(responses.len() > SENDERS);
        for response in responses {
            assert_eq!(response.body, complete_stream());
        }
        agatemill_runtime::sleep(Duration::from_millis(700)).await;
        assert_used_again(&system, "draft", busy).await;
    });
}

/// Guards against a wish that is taken for one of the engine that a response names as the cause.
#[test]
fn the_engine_that_answers_is_left_alone_also_when_it_names_another_one() {
    run_test(4, |system| async move {
        let firsts = first_engines(&system);
        let busy = firsts[0];
        let named = system
            .engines
            .iter()
            .find(|engine| firsts.iter().all(|first| first.id != engine.id));
        busy.set_faulty(Some(named.unwrap().address));
        turn_away(busy, Behaviour::Reject, "2");
        system.reach("draft", busy).await;
        press(&system, "draft", Duration::from_millis(1_800)).await;
        assert!(late_requests(busy, Duration::from_secs(2)) <= MAX_REQUESTS);
        assert!(late_requests(firsts[1], Duration::from_mins(1)) > MAX_REQUESTS);
    });
}

/// Guards against calls of either kind that are sent to a server during the time for which it wants none.
#[test]
fn calls_leave_a_server_alone_for_the_time_that_it_names() {
    for (route, behaviour) in [
        ("read", Behaviour::Reject),
        ("read", Behaviour::Status(503)),
        ("pay", Behaviour::Reject),
        ("pay", Behaviour::Status(503)),
    ] {
        run_test(2, |system| async move {
            let wait = Duration::from_millis(1_800);
            let busy = &system.services[0];
            turn_away(busy, behaviour, "1.8");
            system.reach(route, busy).await;
            let responses = press(&system, route, Duration::from_millis(1_500)).await;
            let late = late_requests(busy, wait);
            assert!(late <= MAX_REQUESTS, "{route} {behaviour:?}: {late}");
            assert!(responses.len() > SENDERS);
            let served = responses.iter().filter(|one| one.status == 200).count();
            assert!(served + SENDERS >= responses.len(), "{route}: {served}");
            agatemill_runtime::sleep(Duration::from_millis(400)).await;
            assert_used_again(&system, route, busy).await;
        });
    }
}

/// Guards against a time that is noticed only at the end of a response, which may be late or never come.
#[test]
fn a_time_counts_from_the_head_of_a_response() {
    run_test(2, |system| async move {
        let busy = &system.services[0];
        turn_away(busy, Behaviour::EndlessBody(503), "3");
        system.reach("read", busy).await;
        press(&system, "read", Duration::from_millis(1_500)).await;
        assert!(late_requests(busy, Duration::from_secs(3)) <= MAX_REQUESTS);
    });
}

/// Guards against calls that are sent to servers of which all want none, or that wait for them in vain.
#[test]
fn calls_are_rejected_at_once_while_all_servers_want_none() {
    for route in ["read", "pay"] {
        run_test(2, |system| async move {
            turn_away(&system.services[0], Behaviour::Reject, "5");
            turn_away(&system.services[1], Behaviour::Reject, "3");
            let first = retry_after(&system.send(route, "a1").await);
            assert!((2.9..=4.6).contains(&first), "{first}");
            assert_rejected_promptly(&system, route).await;
            let responses = press(&system, route, Duration::from_millis(1_500)).await;
            for server in &system.services {
                assert!(late_requests(server, Duration::from_secs(3)) <= MAX_REQUESTS);
            }
            for response in responses {
                assert!(retry_after(&response) >= 1.0);
            }
        });
    }
}

/// Guards against streams that are sent to engines of which all want none, or that wait for them in vain.
#[test]
fn streams_are_rejected_at_once_while_all_engines_want_none() {
    run_test(4, |system| async move {
        let firsts = first_engines(&system);
        turn_away(firsts[0], Behaviour::Reject, "5");
        turn_away(firsts[1], Behaviour::Reject, "3");
        let first = retry_after(&system.send("draft", "a1").await);
        assert!((2.9..=4.6).contains(&first), "{first}");
        assert_rejected_promptly(&system, "draft").await;
        press(&system, "draft", Duration::from_millis(1_500)).await;
        for engine in firsts {
            assert!(late_requests(engine, Duration::from_secs(3)) <= MAX_REQUESTS);
        }
    });
}

/// Guards against requests that are rejected, or sent too early, although the time of a server ends soon.
#[test]
fn requests_wait_for_a_time_that_ends_soon() {
    for route in ["draft", "read", "pay"] {
        run_test(2, |system| async move {
            let servers: Vec<&Engine> = if route == "draft" {
                first_engines(&system)
            } else {
                system.services.iter().collect()
            };
            for server in &servers {
                turn_away(server, Behaviour::Reject, "0.9");
            }
            assert!(retry_after(&system.send(route, "a1").await) > 0.5);
            let rejected = servers.iter().flat_map(|server| server.arrivals());
            let rejected = rejected.map(|arrival| arrival.at).min().unwrap();
            for server in &servers {
                server.set_behaviour(Behaviour::Serve);
            }
            agatemill_runtime::sleep(Duration::from_millis(750)).await;
            assert_eq!(system.send(route, "a2").await.status, 200);
            let arrivals = servers.iter().flat_map(|server| server.arrivals());
            let served = arrivals.filter(|arrival| arrival.attempt == "a2");
            let served = served.map(|arrival| arrival.at).min().unwrap();
            assert!(served >= rejected + Duration::from_millis(900));
        });
    }
}

/// Guards against second runs of streams at an engine that wants no requests.
#[test]
fn a_second_run_leaves_an_engine_alone() {
    run_test(4, |system| async move {
        let firsts = first_engines(&system);
        turn_away(firsts[0], Behaviour::Reject, "8");
        system.reach("draft", firsts[0]).await;
        firsts[0].set_behaviour(Behaviour::Serve);
        // The brief avoidance after a rejection ends.
        agatemill_runtime::sleep(SETTLE_TIME).await;
        firsts[1].set_behaviour(Behaviour::PauseAt {
            event: 2,
            ms: 1_200,
        });
        let response = system.send("draft", "a1").await;
        assert_eq!(response.body, complete_stream());
        assert_eq!(system.run_count("a1"), 1);
        assert_eq!(late_requests(firsts[0], Duration::from_secs(8)), 0);
    });
}

/// Guards against a time that is lost because its response arrives just after another run has continued the stream.
#[test]
fn a_time_that_a_dropped_run_is_told_holds() {
    run_test(4, |system| async move {
        let mut engines = first_engines(&system);
        // A complete stream takes 120 ms, which a test that is delayed by other load may miss.
        for engine in &engines {
            engine.set_behaviour(Behaviour::PauseAt { event: 2, ms: 600 });
        }
        let has_run = |engine: &&Engine| !engine.arrivals().is_empty();
        let silence = async {
            system
                .wait_until("the stream runs", || engines.iter().any(has_run))
                .await;
            engines.sort_by_key(|engine| !has_run(engine));
            for engine in &engines {
                engine.set_behaviour(Behaviour::Serve);
            }
            let pause = Duration::from_millis(1_200);
            engines[0].pause(pause);
            engines[1].turn_away(Duration::from_secs(2), "8");
            engines[1].pause(pause + Duration::from_millis(15));
        };
        let (response, ()) = futures::join!(system.send("draft", "a1"), silence);
        assert_eq!(response.body, complete_stream());
        let busy = engines[1];
        assert_eq!(busy.arrivals().len(), 1, "no second run began");
        let state = system.process.state();
        let server = busy.id.parse().unwrap();
        let server = state.view().server(&server).cloned().unwrap();
        assert!(agatemill_gateway::backoff::left(state, &server).is_some());
    });
}

/// Guards against a broken stream that is resumed at an engine that wants no requests.
#[test]
fn a_resumed_stream_leaves_an_engine_alone() {
    run_test(4, |system| async move {
        let firsts = first_engines(&system);
        turn_away(firsts[0], Behaviour::Reject, "8");
        system.reach("draft", firsts[0]).await;
        firsts[0].set_behaviour(Behaviour::Serve);
        agatemill_runtime::sleep(SETTLE_TIME).await;
        firsts[1].set_behaviour(Behaviour::BreakAfter(3));
        for number in 0..8 {
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream());
        }
        assert_eq!(late_requests(firsts[0], Duration::from_secs(8)), 0);
    });
}

/// Guards against a second attempt of a call at a server that wants no requests.
#[test]
fn a_second_attempt_of_a_call_leaves_a_server_alone() {
    run_test(2, |system| async move {
        let [busy, slow] = system.services.as_slice() else {
            panic!("two servers");
        };
        turn_away(busy, Behaviour::Reject, "8");
        system.reach("read", busy).await;
        busy.set_behaviour(Behaviour::Serve);
        agatemill_runtime::sleep(SETTLE_TIME).await;
        slow.set_behaviour(Behaviour::Slow(2_500));
        assert_eq!(system.send("read", "a1").await.status, 200);
        assert_eq!(late_requests(busy, Duration::from_secs(8)), 0);
    });
}

/// Guards against a server that is lost for new requests because it sent a text that names no usable time, and against
/// a response with another status that is taken for a wish.
#[test]
fn unusable_times_change_nothing() {
    run_test(2, |system| async move {
        let server = &system.services[0];
        let state = system.process.state();
        let texts = [
            "-1",
            "Wed, 21 Oct 2026 07:28:00 GMT",
            "soon",
            "",
            "NaN",
            "inf",
            "1e300",
            "3601",
        ];
        for text in texts {
            turn_away(server, Behaviour::Reject, text);
            system.reach("read", server).await;
            assert_eq!(state.usable_servers(&plain()).len(), 2, "{text}");
        }
        let metrics = String::from_utf8(state.metrics.export().unwrap()).unwrap();
        let line = r#"agatemill_events_total{event="backoff_invalid",part="servers"} 8"#;
        assert!(metrics.contains(line), "{metrics}");
        turn_away(server, Behaviour::Status(500), "8");
        system.reach("read", server).await;
        assert_eq!(state.usable_servers(&plain()).len(), 2);
        assert_used_again(&system, "read", server).await;
    });
}

/// Guards against regular queries of a silent server during the time for which it wants no requests.
#[test]
fn a_suspected_server_is_not_queried_while_it_wants_no_requests() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let [busy, silent] = system.services.as_slice() else {
            panic!("two servers");
        };
        turn_away(busy, Behaviour::Reject, "8");
        system.reach("read", busy).await;
        for server in &system.services {
            state.suspect(server.address, Evidence::Silent);
        }
        let is_suspected = |server: &Engine| {
            let now = agatemill_runtime::now();
            state.suspicion().is_suspected(&server.address, now)
        };
        system
            .wait_until("the other server was queried", || !is_suspected(silent))
            .await;
        agatemill_runtime::sleep(Duration::from_millis(100)).await;
        assert!(is_suspected(busy));
    });
}

/// Guards against a restarted server that is left alone because of what its predecessor asked for.
#[test]
fn a_restarted_server_is_used() {
    run_test(2, |system| async move {
        let server = &system.services[0];
        turn_away(server, Behaviour::Reject, "60");
        system.reach("read", server).await;
        let usable = || system.process.state().usable_servers(&plain()).len();
        assert_eq!(usable(), 1);
        server.crash();
        system
            .wait_until("the server is used again", || usable() == 2)
            .await;
        assert_used_again(&system, "read", server).await;
    });
}

/// Guards against streams that are rejected because one engine wants none for long, while the other one is only avoided for
/// a moment.
#[test]
fn a_stream_waits_for_an_engine_that_asks_for_nothing() {
    run_test(4, |system| async move {
        use_slow_routes(&system).await;
        let firsts = first_engines(&system);
        turn_away(firsts[0], Behaviour::Reject, "30");
        system.reach("draft", firsts[0]).await;
        for attempt in ["a1", "a2", "a3"] {
            let state = system.process.state();
            let reason = "the test holds it back";
            state.avoid(firsts[1].address, Duration::from_millis(300), reason);
            let response = system.send("draft", attempt).await;
            assert_eq!(response.body, complete_stream(), "{response:?}");
        }
        assert_eq!(late_requests(firsts[0], Duration::from_secs(30)), 0);
    });
}

/// Guards against a request that has no credit for a server with a limit once the time of the server has ended.
#[test]
fn a_request_that_waited_for_a_time_asks_for_a_credit() {
    for route in ["draft", "read"] {
        run_test(2, |system| async move {
            use_slow_routes(&system).await;
            let servers: Vec<&Engine> = if route == "draft" {
                first_engines(&system)
            } else {
                system.services.iter().collect()
            };
            for server in &servers {
                server.set_request_limit(Some(50.0));
                system.reach(route, server).await;
            }
            turn_all_away(&system, route, "2.5").await;
            // Longer than a credit lasts.
            agatemill_runtime::sleep(Duration::from_millis(1_400)).await;
            let response = system.send(route, "a1").await;
            assert_eq!(response.status, 200, "{route}: {response:?}");
        });
    }
}

/// Guards against a call that is lost at a server that does not respond, although another one may be used soon.
#[test]
fn a_call_waits_for_a_short_time_rather_than_use_an_avoided_server() {
    run_test(2, |system| async move {
        use_slow_routes(&system).await;
        let [busy, silent] = system.services.as_slice() else {
            panic!("two servers");
        };
        turn_away(busy, Behaviour::Reject, "0.8");
        system.reach("pay", busy).await;
        busy.set_behaviour(Behaviour::Serve);
        silent.set_behaviour(Behaviour::Silent);
        // A suspicion would end with the next regular query, which a silent server accepts.
        let (state, reason) = (system.process.state(), "the test makes it silent");
        state.avoid(silent.address, Duration::from_secs(4), reason);
        let response = system.send("pay", "a1").await;
        assert_eq!(response.body, "done by s0", "{response:?}");
    });
}

/// Guards against requests that wait for the end of a time although another server may be used.
#[test]
fn a_request_stops_waiting_once_a_server_may_be_used() {
    for route in ["draft", "read", "pay"] {
        run_test(2, |system| async move {
            use_slow_routes(&system).await;
            let servers = turn_all_away(&system, route, "2.2").await;
            agatemill_runtime::sleep(Duration::from_millis(500)).await;
            let start = agatemill_runtime::now();
            let restart = async {
                agatemill_runtime::sleep(Duration::from_millis(200)).await;
                servers[0].set_entry("born", 1_700_000_060_000_u64.into());
            };
            let (response, ()) = futures::join!(system.send(route, "a1"), restart);
            let taken = agatemill_runtime::now().saturating_sub(start);
            assert_eq!(response.status, 200, "{route}: {response:?}");
            assert!(taken < Duration::from_millis(1_200), "{route}: {taken:?}");
        });
    }
}

/// Guards against requests that are held until the end of a time although the servers meanwhile ask for a longer one.
#[test]
fn a_request_that_waits_is_rejected_once_the_time_is_too_long() {
    for route in ["draft", "read", "pay"] {
        run_test(2, |system| async move {
            use_slow_routes(&system).await;
            let servers = turn_all_away(&system, route, "2.2").await;
            agatemill_runtime::sleep(Duration::from_millis(500)).await;
            let start = agatemill_runtime::now();
            let state = system.process.state();
            let extend = async {
                agatemill_runtime::sleep(Duration::from_millis(200)).await;
                for server in &servers {
                    let name: id::Server = server.id.parse().unwrap();
                    let listed = state.view().server(&name).cloned().unwrap();
                    let now = agatemill_gateway::clock::boot_time();
                    let wait = "30".parse().unwrap();
                    state.backoff().record(&listed, wait, now);
                }
            };
            let (response, ()) = futures::join!(system.send(route, "a1"), extend);
            let taken = agatemill_runtime::now().saturating_sub(start);
            assert!(retry_after(&response) > 25.0, "{route}: {response:?}");
            assert!(taken < Duration::from_millis(1_200), "{route}: {taken:?}");
        });
    }
}
