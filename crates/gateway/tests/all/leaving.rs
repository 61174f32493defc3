//! Tests of servers that say in their responses that they leave, while the store lists them as ready.

use core::time::Duration;

use hyper::Response;
use serde_json::json;

use crate::complete_stream;
use crate::run_test;
use crate::system::System;
use agatemill_adapter::engine::Report;
use agatemill_core::id;
use agatemill_fleet::Evidence;
use agatemill_gateway::departure;
use agatemill_standin::Engine;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::store::Fault;

/// Number of requests after a departure; if the server were still used, at least one would reach it.
const REQUESTS: usize = 12;

/// Half of the target latency in [`use_slow_routes`], for which a request may wait for a path or a server.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Gives the routes a target latency of twice [`MAX_WAIT`].
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

/// The engines that hold the first layers.
fn first_engines(system: &System) -> Vec<&Engine> {
    let engines = system.engines.iter();
    let first = engines.filter(|engine| engine.orders().last().unwrap()["from"] == 0);
    first.collect()
}

/// An engine that holds the last layers.
fn last_engine(system: &System) -> &Engine {
    let mut engines = system.engines.iter();
    let last = engines.find(|engine| engine.orders().last().unwrap()["from"] != 0);
    last.unwrap()
}

/// Sends requests until the host has passed on a response in which each of the servers says that it leaves.
async fn announce(system: &System, servers: &[&Engine], route: &str) {
    for server in servers {
        server.set_leaving(true);
    }
    let before: Vec<usize> = servers
        .iter()
        .map(|server| server.arrivals().len())
        .collect();
    let is_known = || {
        let mut servers = servers.iter().zip(&before);
        servers.all(|(server, before)| server.arrivals().len() > *before)
    };
    for number in 0..100 {
        if is_known() {
            return;
        }
        let response = system.send(route, &format!("before-{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "a stream that runs goes on");
    }
    panic!("some server was never used");
}

/// Sends requests and returns how many the server got.
async fn arrivals_of(system: &System, server: &Engine, route: &str) -> usize {
    let before = server.arrivals().len();
    for number in 0..REQUESTS {
        let attempt = format!("{}-{number}", agatemill_runtime::now().as_micros());
        let response = system.send(route, &attempt).await;
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete);
    }
    server.arrivals().len() - before
}

/// Guards against streams that begin at an engine that leaves.
#[test]
fn streams_begin_at_no_engine_that_leaves() {
    run_test(4, |system| async move {
        let leaving = first_engines(&system)[0];
        announce(&system, &[leaving], "draft").await;
        assert_eq!(arrivals_of(&system, leaving, "draft").await, 0);
    });
}

/// Guards against calls to a server that leaves, with the store reachable or not.
#[test]
fn calls_go_to_no_server_that_leaves() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        announce(&system, &[leaving], "open").await;
        assert_eq!(arrivals_of(&system, leaving, "open").await, 0);
        system.store.set_fault(Fault::Silent);
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        assert_eq!(arrivals_of(&system, leaving, "open").await, 0);
    });
}

/// Guards against a server that is only known to leave from its rejections.
#[test]
fn a_rejection_tells_that_a_server_leaves() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        leaving.set_behaviour(Behaviour::Reject);
        announce(&system, &[leaving], "read").await;
        leaving.set_behaviour(Behaviour::Serve);
        assert_eq!(arrivals_of(&system, leaving, "read").await, 0);
    });
}

/// Guards against an engine that is used although it has said that it leaves, in a failure that names another engine as the
/// cause, whether or not the failure was passed on.
#[test]
fn a_failure_of_another_engine_tells_that_the_engine_that_answers_leaves() {
    for (behaviour, status) in [(Behaviour::Status(500), 500), (Behaviour::Status(503), 502)] {
        run_test(4, |system| async move {
            let leaving = first_engines(&system)[0];
            leaving.set_faulty(Some(last_engine(&system).address));
            leaving.set_behaviour(behaviour);
            leaving.set_leaving(true);
            let mut number = 0;
            while leaving.answers().is_empty() {
                assert!(number < 100, "the engine was never used");
                let response = system.send("once", &format!("before-{number}")).await;
                number += 1;
                if leaving.answers().is_empty() {
                    continue;
                }
                assert_eq!(response.status, status, "{response:?}");
                let is_told = response.headers.contains_key("server-leaving");
                assert_eq!(is_told, behaviour == Behaviour::Status(500), "{response:?}");
            }
            leaving.set_behaviour(Behaviour::Serve);
            assert_eq!(arrivals_of(&system, leaving, "draft").await, 0);
        });
    }
}

/// Guards against calls that each wait in vain for the end of a response of a server that leaves.
#[test]
fn a_departure_counts_from_the_head_of_a_response() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        leaving.set_behaviour(Behaviour::EndlessBody(200));
        leaving.set_leaving(true);
        let mut number = 0;
        while leaving.arrivals().is_empty() {
            let response = system.send("read", &format!("before-{number}")).await;
            assert!(response.is_complete, "{response:?}");
            number += 1;
        }
        leaving.set_behaviour(Behaviour::Serve);
        assert_eq!(arrivals_of(&system, leaving, "read").await, 0);
    });
}

/// Guards against a call that falls back to a server that leaves because all others are suspected.
#[test]
fn a_call_prefers_suspected_servers_to_leaving_ones() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        announce(&system, &[leaving], "read").await;
        let before = leaving.arrivals().len();
        for number in 0..REQUESTS {
            let suspected = system.services[1].address;
            system.process.state().suspect(suspected, Evidence::Silent);
            let response = system.send("read", &format!("r{number}")).await;
            assert_eq!(response.body, "done by s1");
        }
        assert_eq!(leaving.arrivals().len(), before);
    });
}

/// Guards against a stream that is resumed at the engine that leaves because the others are avoided for a moment.
#[test]
fn a_stream_is_resumed_at_no_engine_that_leaves() {
    run_test(4, |system| async move {
        use_slow_routes(&system).await;
        let engines = first_engines(&system);
        let (leaving, other) = (engines[0], engines[1]);
        leaving.set_leaving(true);
        leaving.set_behaviour(Behaviour::BreakAfter(2));
        let time = Duration::from_secs(1);
        let state = system.process.state();
        state.avoid(other.address, time, "the test holds it back");
        let response = system.send("draft", "a1").await;
        assert_eq!(response.body, complete_stream());
        let runs = |engine: &Engine| {
            let arrivals = engine.arrivals();
            let runs = arrivals.iter().filter(|arrival| arrival.attempt == "a1");
            runs.count()
        };
        assert_eq!((runs(leaving), runs(other)), (1, 1));
    });
}

/// Guards against an idempotent call that is repeated at the server that leaves.
#[test]
fn a_call_is_repeated_at_no_server_that_leaves() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        announce(&system, &[leaving], "read").await;
        let before = leaving.arrivals().len();
        system.services[1].set_behaviour(Behaviour::Status(500));
        let response = system.send("read", "r1").await;
        assert_eq!(response.status, 500, "the response of the other server");
        assert_eq!(leaving.arrivals().len(), before);
    });
}

/// Guards against requests that are held although nothing can serve them, and against refusals without a promise.
#[test]
fn a_request_is_refused_at_once_when_all_servers_leave() {
    run_test(4, |system| async move {
        use_slow_routes(&system).await;
        announce(&system, &first_engines(&system), "draft").await;
        let services: Vec<&Engine> = system.services.iter().collect();
        announce(&system, &services, "read").await;
        for (route, attempt) in [
            ("draft", "a1"),
            ("once", "a2"),
            ("read", "r1"),
            ("pay", "p1"),
        ] {
            let start = agatemill_runtime::now();
            let response = system.send(route, attempt).await;
            let taken = agatemill_runtime::now().saturating_sub(start);
            assert_eq!(response.status, 503, "{response:?}");
            assert!(response.headers.contains_key("retry-after"), "{response:?}");
            assert!(taken < MAX_WAIT / 2, "{taken:?}");
            assert_eq!(system.run_count(attempt), 0);
        }
    });
}

/// Guards against an instance that is used again because its entry expired and came back, and against a restarted server
/// that is not used because an earlier instance left.
#[test]
fn a_departure_lasts_until_the_server_restarts() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        announce(&system, &[leaving], "read").await;
        let name: id::Server = leaving.id.parse().unwrap();
        let listed = || system.process.state().view().server(&name).cloned();
        system.store.remove("servers/s0");
        system
            .wait_until("the entry is gone", || listed().is_none())
            .await;
        leaving.set_entry("slots", json!(9));
        system
            .wait_until("the entry is back", || listed().is_some())
            .await;
        assert_eq!(arrivals_of(&system, leaving, "read").await, 0);
        leaving.set_leaving(false);
        leaving.set_entry("born", json!(1_700_000_060_000_u64));
        system
            .wait_until("the new instance is listed", || {
                listed().is_some_and(|server| server.born_ms == 1_700_000_060_000)
            })
            .await;
        assert!(arrivals_of(&system, leaving, "read").await > 0);
    });
}

/// Guards against a restart in an outage of the store after which a server is never used again.
#[test]
fn a_server_that_restarts_without_the_store_is_used_after_its_return() {
    run_test(2, |system| async move {
        let leaving = &system.services[0];
        announce(&system, &[leaving], "open").await;
        system.store.set_fault(Fault::Busy);
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        leaving.set_leaving(false);
        leaving.set_entry("born", json!(1_700_000_060_000_u64));
        assert_eq!(arrivals_of(&system, leaving, "open").await, 0);
        system.store.set_fault(Fault::None);
        let name: id::Server = leaving.id.parse().unwrap();
        let state = system.process.state();
        system
            .wait_until("the new instance is listed", || {
                let server = state.view().server(&name).cloned();
                server.is_some_and(|server| server.born_ms == 1_700_000_060_000)
            })
            .await;
        assert!(arrivals_of(&system, leaving, "open").await > 0);
    });
}

/// Makes the host query the report of an engine, which says that the engine leaves.
async fn announce_in_report(system: &System, engine: &Engine) {
    engine.set_leaving(true);
    let state = system.process.state();
    state.suspect(engine.address, Evidence::Silent);
    system
        .wait_until("the engine has answered a report", || {
            let now = agatemill_runtime::now();
            !state.suspicion().is_unreachable(&engine.address, now)
        })
        .await;
}

/// Guards against layers that are missing once an engine that said that it leaves is gone, and against orders to it.
#[test]
fn the_layers_of_an_engine_that_leaves_are_placed_again() {
    run_test(2, |system| async move {
        let leaving = last_engine(&system);
        let order = leaving.orders().last().unwrap().clone();
        announce_in_report(&system, leaving).await;
        let orders = leaving.orders().len();
        let spare = Engine::start(&system.store, "e9", "model", Some("card"));
        system
            .wait_until("the spare engine has an order", || {
                !spare.orders().is_empty()
            })
            .await;
        assert_eq!(spare.orders()[0]["from"], order["from"]);
        assert_eq!(leaving.orders().len(), orders);
    });
}

/// Guards against an engine whose departure is not noticed while it serves only behind the first engine of paths.
#[test]
fn a_report_tells_that_an_engine_leaves() {
    run_test(4, |system| async move {
        let leaving = last_engine(&system);
        announce_in_report(&system, leaving).await;
        let address = leaving.address.to_string();
        for number in 0..REQUESTS {
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream());
        }
        let arrivals = system.engines.iter().flat_map(Engine::arrivals);
        let mut paths = arrivals.filter_map(|arrival| arrival.path);
        assert!(!paths.any(|path| path.contains(&address)));
    });
}

/// Guards against a stalled stream that is sent through an engine that leaves.
#[test]
fn a_stream_is_not_rerouted_through_an_engine_that_leaves() {
    run_test(4, |system| async move {
        announce_in_report(&system, last_engine(&system)).await;
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        let stall = async {
            system
                .wait_until("the stream runs", || system.run_count("a1") > 0)
                .await;
            let mut engines = system.engines.iter();
            let first = engines.find(|engine| !engine.arrivals().is_empty());
            let first = first.unwrap();
            let path = first.arrivals()[0].path.clone().unwrap();
            let second = path.split(',').nth(1).unwrap().split_once('=').unwrap().0;
            first.set_stalled("a1", second.parse().unwrap());
            agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
            for engine in &system.engines {
                engine.set_behaviour(Behaviour::Serve);
            }
            first.orders()
        };
        let (response, orders) = futures::join!(system.send("once", "a1"), stall);
        assert_eq!(response.body, complete_stream());
        let mut orders = orders.iter();
        assert!(!orders.any(|order| order["op"] == "repath"));
    });
}

/// Guards against a server that is no longer used because of a response that another one at its address may have sent, and
/// against one that is used although it has said that it leaves.
#[test]
fn all_responses_but_421_tell_that_the_server_leaves() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let observe = |name: &str, status: u16, headers: &[(&str, &str)]| {
            let name: id::Server = name.parse().unwrap();
            let server = state.view().server(&name).cloned().unwrap();
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(*name, *value);
            }
            let response = response.header("server-leaving", "1").body(()).unwrap();
            departure::observe(state, &server, response.status(), response.headers());
            !state.departures().is_staying(&server)
        };
        let own = system.services[0].address.to_string();
        assert!(!observe("s0", 421, &[("x-attempt-id", "a1")]));
        assert!(!observe("s0", 421, &[("at-server", &own)]));
        assert!(observe("s0", 503, &[("at-server", &own)]));
        assert!(observe("s1", 503, &[("at-server", "10.0.0.9:80")]));
        assert!(observe("e0", 200, &[("x-attempt-id", "another")]));
        assert!(observe("e1", 500, &[]));
    });
}

/// Guards against a log that a server floods with an unusable text in each response, and against such texts that nobody
/// sees.
#[test]
fn unusable_announcements_change_nothing_and_are_counted() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_leaving_text(Some("0"));
        }
        for number in 0..2 * REQUESTS {
            let response = system.send("open", &format!("a{number}")).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
        let state = system.process.state();
        assert!(state.departures().is_empty());
        let metrics = String::from_utf8(state.metrics.export().unwrap()).unwrap();
        let line = r#"agatemill_events_total{event="leaving_invalid",part="servers"} 24"#;
        assert!(metrics.contains(line), "{metrics}");
    });
}

/// Guards against a report of a restarted engine that counts for the instance before it, or the other way round.
#[test]
fn a_report_tells_only_that_the_instance_leaves_that_it_names() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let name: id::Server = "e0".parse().unwrap();
        let server = state.view().server(&name).cloned().unwrap();
        let observe = |born_ms, is_leaving| {
            let report = Report {
                born_ms,
                is_leaving,
                ..Report::default()
            };
            departure::observe_report(state, server.address, &report);
            !state.departures().is_staying(&server)
        };
        assert!(!observe(None, true));
        assert!(!observe(Some(server.born_ms + 1), true));
        assert!(!observe(Some(server.born_ms), false));
        assert!(observe(Some(server.born_ms), true));
    });
}
