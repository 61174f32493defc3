//! Tests of hosts that start, stop, reload their settings and take over from each other.

use core::time::Duration;

use crate::full::fill;
use crate::run_test;
use crate::system::System;
use crate::system::settings;
use agatemill_fleet::Evidence;
use agatemill_fleet::budget::Purpose;
use agatemill_gateway::connection::Connection;
use agatemill_gateway::shutdown::Schedule;
use agatemill_gateway::state::Stage;
use agatemill_standin::Engine;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;

/// Guards against a planned stop that aborts a request, or keeps directing callers to the stopping host.
#[test]
fn a_planned_stop_aborts_no_request() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Slow(600));
        }
        let resolve = format!(
            "http://{}/agatemill/resolve?name=office.example&zone=a",
            system.directory
        );
        let (status, text) = system.get(&resolve).await;
        assert_eq!(status, 200);
        assert!(text.contains("\"ttl-s\":0.1"), "{text}");
        let state = system.process.state().clone();
        let leaving = async {
            system
                .wait_until("the request runs", || system.run_count("p1") > 0)
                .await;
            state.set_stage(Stage::Leaving);
            assert_eq!(system.ready().await, 503);
            assert_eq!(
                system.get(&resolve).await.0,
                503,
                "the directory must not return the only host while it leaves"
            );
            let late = system.send("open", "o1").await;
            assert_eq!(
                late.status, 200,
                "callers that still use this host are served"
            );
            assert_eq!(late.headers["connection"], "close");
        };
        let (response, ()) = futures::join!(system.send("pay", "p1"), leaving);
        assert_eq!(response.status, 200);
        system.process.close().await;
        assert_eq!(system.store.value("agatemill/hosts/h1"), None);
    });
}

/// Guards against a stop that lets streams in for exactly as long as callers may count on, although the signal was sent
/// before its receipt, and against stages out of order when the grace period is short.
#[test]
fn a_planned_stop_refuses_streams_before_the_last_that_callers_may_send() {
    let signalled = Duration::from_secs(5);
    for grace_ms in [3_000, 8_000, 60_000] {
        let grace = Duration::from_millis(grace_ms);
        let schedule = Schedule::new(signalled, grace);
        assert!(schedule.closing < signalled + grace.mul_f64(0.375));
        assert!(schedule.exit < signalled + grace);
        let just = Duration::from_nanos(1);
        let stages = [
            (signalled, Stage::Leaving),
            (schedule.closing.saturating_sub(just), Stage::Leaving),
            (schedule.closing, Stage::Closing),
            (schedule.ending.saturating_sub(just), Stage::Closing),
            (schedule.ending, Stage::Ending),
            (schedule.exit, Stage::Ending),
        ];
        for (time, stage) in stages {
            assert_eq!(schedule.stage(time), stage, "{grace:?} {time:?}");
        }
    }
    for grace_ms in [0, 100, 600] {
        let schedule = Schedule::new(signalled, Duration::from_millis(grace_ms));
        assert!(schedule.closing <= schedule.ending);
        assert!(schedule.ending <= schedule.answering);
        assert!(schedule.answering <= schedule.exit);
    }
}

/// Guards against a reload that resets the retry budget of the current window.
#[test]
fn a_reload_keeps_the_retry_budget() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let earn = || (0..20).for_each(|_| state.count_request(&name));
        earn();
        assert!(state.take_retry(&name, Purpose::Retry));
        while state.take_retry(&name, Purpose::Retry) {}
        let mut settings = agatemill_gateway::Settings::clone(&state.settings());
        state.set_settings(settings.clone());
        assert!(!state.take_retry(&name, Purpose::Retry));
        settings.bounds.retry_ratio = 0.4;
        state.set_settings(settings);
        earn();
        assert!(
            state.take_retry(&name, Purpose::Retry),
            "another allowance takes effect"
        );
    });
}

/// Guards against a changed allowance that gives out the retries of the current window again.
#[test]
fn another_allowance_keeps_the_count_of_retries() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        while state.take_retry(&name, Purpose::Retry) {}
        let mut settings = agatemill_gateway::Settings::clone(&state.settings());
        settings.bounds.retry_base -= 1.0;
        state.set_settings(settings.clone());
        assert!(!state.take_retry(&name, Purpose::Retry));
        settings.bounds.retry_window = "20s".parse().unwrap();
        state.set_settings(settings);
        assert!(!state.take_retry(&name, Purpose::Retry));
    });
}

/// Guards against views that are nearly too old for keys while the store responds, so that a short outage stops requests.
#[test]
fn a_view_stays_recent_enough_for_keys_in_an_outage_of_two_seconds() {
    let text = "host = \"h1\"\nzone = \"a\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
        directory = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\nexchange = \"127.0.0.1:5\"\nstore = \"127.0.0.1:6\"\n\
        [bounds]\nretry_ratio = 0.2\nretry_base = 200\nretry_window = \"10s\"\nrevocation = \"5s\"\ngrace = \"3s\"\n";
    let file = tempfile::NamedTempFile::new().unwrap();
    for configuration in ["2s", "3s", "11s"] {
        std::fs::write(
            file.path(),
            format!("{text}configuration = \"{configuration}\"\n"),
        )
        .unwrap();
        let settings = agatemill_gateway::Settings::load(file.path()).unwrap();
        let timing = settings.bounds.timing();
        let pause = timing.batch_interval(Duration::ZERO);
        let age = pause + timing.watch_wait(true) + timing.feed_wait();
        let outage = Duration::from_secs(2);
        let left = settings.bounds.freshness_limit().saturating_sub(age);
        assert!(
            left > outage + timing.probe_interval(),
            "{configuration}: {left:?}"
        );
    }
}

/// Guards against late orders of a former planner, and against a fleet without a planner: the next planner's
/// orders carry a higher fencing number.
#[test]
fn another_host_takes_over_planning_with_a_higher_fence() {
    run_test(2, |system| async move {
        let fence = |engine: &Engine| engine.orders().last().unwrap()["fence"].as_u64().unwrap();
        let first = fence(&system.engines[0]);
        let second = settings("h2", system.store_address);
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let listed = || system.store.value("agatemill/hosts/h2").is_some();
        system.wait_until("the second host is listed", listed).await;
        let leader = || system.store.value("agatemill/planner").unwrap_or_default();
        assert!(
            leader().starts_with("h1-"),
            "the first host stays the leader: {}",
            leader()
        );
        let state = system.process.state().clone();
        state.set_stage(Stage::Closing);
        system
            .wait_until("the second host leads", || leader().starts_with("h2-"))
            .await;
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        system
            .wait_until("the new engine holds layers", || !late.orders().is_empty())
            .await;
        assert!(fence(&late) > first);
        drop(process);
    });
}

/// Guards against seconds without a planner after the leader's process was restarted, since its lease outlasts it.
#[test]
fn a_restarted_leader_leads_again_before_its_former_lease_ends() {
    run_test(2, |mut system| async move {
        let fence = |engine: &Engine| engine.orders().last().unwrap()["fence"].as_u64().unwrap();
        let former_fence = fence(&system.engines[0]);
        let leader = |system: &System| system.store.value("agatemill/planner");
        let former = leader(&system).unwrap();
        let started = agatemill_runtime::now();
        system.process = agatemill_gateway::Process::start(settings("h1", system.store_address))
            .await
            .unwrap();
        let is_replaced =
            || leader(&system).is_some_and(|name| name != former && name.starts_with("h1-"));
        system
            .wait_until("the new process leads", is_replaced)
            .await;
        let waited = agatemill_runtime::now().saturating_sub(started);
        assert!(waited < Duration::from_millis(1_500), "{waited:?}");
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        system
            .wait_until("the new engine is ordered", || !late.orders().is_empty())
            .await;
        assert!(fence(&late) > former_fence);
    });
}

/// Guards against a directory that returns a dead host.
#[test]
fn the_directory_returns_serving_hosts() {
    run_test(2, |system| async move {
        let second = settings("h2", system.store_address);
        let address = second.callers.to_string();
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let name: agatemill_core::id::Host = "h2".parse().unwrap();
        let state = system.process.state().clone();
        let is_known = || state.view().members.contains_key(&name);
        system.wait_until("both hosts are known", is_known).await;
        let resolve = format!("http://{}/agatemill/resolve?zone=a", system.directory);
        assert!(system.get(&resolve).await.1.contains(&address));
        drop(process);
        system
            .wait_until("the dead host is gone", || !is_known())
            .await;
        assert!(!system.get(&resolve).await.1.contains(&address));
    });
}

/// Guards against a planner of several models that loses the orders of one model while it plans another, and
/// repeats them at each planning interval.
#[test]
fn engines_of_two_models_are_ordered_once_each() {
    run_test(2, |system| async move {
        system.store.put("op/config", &two_models(4));
        let others: Vec<Engine> = (0..2)
            .map(|number| {
                Engine::start(
                    &system.store,
                    &format!("f{number}"),
                    "model-2",
                    Some("card"),
                )
            })
            .collect();
        for engine in &others {
            // The engine accepts the order, and its effect is not visible for a while.
            engine.set_behaviour(Behaviour::LoadSlowly);
        }
        system
            .wait_until("the engines are ordered", || {
                others.iter().all(|engine| !engine.orders().is_empty())
            })
            .await;
        agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
        for engine in &others {
            assert_eq!(engine.orders().len(), 1, "{:?}", engine.orders());
        }
    });
}

/// Guards against a host that is ready but stays unlisted until the next lease renewal.
#[test]
fn a_host_is_listed_as_soon_as_it_is_ready() {
    run_test(2, |system| async move {
        let second = settings("h2", system.store_address);
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let is_ready = || process.state().is_ready();
        system
            .wait_until("the second host is ready", is_ready)
            .await;
        let ready = agatemill_runtime::now();
        let is_listed = || system.store.value("agatemill/hosts/h2").is_some();
        system
            .wait_until("the second host is listed", is_listed)
            .await;
        let waited = agatemill_runtime::now().saturating_sub(ready);
        assert!(waited < Duration::from_millis(500), "{waited:?}");
    });
}

/// Guards against an engine that stays empty for seconds because the response to an order was lost.
#[test]
fn an_order_without_a_response_is_sent_again() {
    run_test(2, |system| async move {
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        late.set_behaviour(Behaviour::IgnoreOrders);
        // The fleet must have settled, and the first order must reach the engine while it does not respond.
        agatemill_runtime::sleep(Duration::from_millis(900)).await;
        late.set_behaviour(Behaviour::Serve);
        let start = agatemill_runtime::now();
        system
            .wait_until("the engine is ordered again", || !late.orders().is_empty())
            .await;
        let waited = agatemill_runtime::now().saturating_sub(start);
        assert!(waited < MAX_GAP_TIME, "{waited:?}");
        agatemill_runtime::sleep(MAX_GAP_TIME).await;
        assert_eq!(late.orders().len(), 1);
    });
}

/// Guards against a new planner that lets an engine load other layers because its entry lists none while it loads those that
/// the former planner ordered, nor for a moment afterwards.
#[test]
fn a_new_planner_keeps_the_layers_that_an_engine_loads() {
    run_test(3, |system| async move {
        let (single, others) = unbalanced_fleet(&system).await;
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        late.set_behaviour(Behaviour::LoadUntilCompleted);
        let is_ordered = || !late.orders().is_empty();
        system
            .wait_until("the new engine is ordered", is_ordered)
            .await;
        let from = |engine: &Engine| engine.orders().last().unwrap()["from"].clone();
        assert_eq!(from(&late), from(&single));
        // The other layers now have as few holders, so that a planner without knowledge of the order chooses them.
        system.store.remove(&format!("servers/{}", others[0].id));
        let second = settings("h2", system.store_address);
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let listed = || system.store.value("agatemill/hosts/h2").is_some();
        system.wait_until("the second host is listed", listed).await;
        let state = system.process.state().clone();
        state.set_stage(Stage::Closing);
        let leader = || system.store.value("agatemill/planner").unwrap_or_default();
        system
            .wait_until("the second host leads", || leader().starts_with("h2-"))
            .await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        late.complete_load();
        agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
        late.list_layers();
        agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(late.orders().len(), 1, "{:?}", late.orders());
        drop(process);
    });
}

/// Waits for a fleet in which one engine holds one half of the layers and two hold the other. Returns the single
/// holder, and the other two.
async fn unbalanced_fleet(system: &System) -> (Engine, Vec<Engine>) {
    let range = |engine: &Engine| engine.orders().last().map(|order| order["from"].clone());
    system
        .wait_until("all engines hold layers", || {
            system.engines.iter().all(|engine| range(engine).is_some())
        })
        .await;
    let holders = |of: &Engine| -> Vec<Engine> {
        let same = system
            .engines
            .iter()
            .filter(|other| range(other) == range(of));
        same.cloned().collect()
    };
    let single = system
        .engines
        .iter()
        .find(|engine| holders(engine).len() == 1);
    let single = single.expect("three engines hold two halves").clone();
    let others = system
        .engines
        .iter()
        .filter(|engine| engine.id != single.id);
    (single.clone(), others.cloned().collect())
}

/// Time within which missing layers must be assigned again: far below the seconds for which the platform lists a
/// lost engine.
const MAX_GAP_TIME: Duration = Duration::from_millis(2_500);

/// Silences that sound servers have; a server that refuses connections and is silent for longer is given up.
const USUAL_SILENCE: Duration = Duration::from_secs(1);

async fn assert_gap_closes(system: &System, lost: &Engine, others: &[Engine]) {
    let from = lost.orders().last().unwrap()["from"].clone();
    let start = agatemill_runtime::now();
    let is_closed = || {
        others
            .iter()
            .any(|engine| engine.orders().last().unwrap()["from"] == from)
    };
    system
        .wait_until("another engine takes the layers", is_closed)
        .await;
    let taken = agatemill_runtime::now().saturating_sub(start);
    assert!(taken < MAX_GAP_TIME, "{taken:?}");
}

/// Guards against layers that stay missing because the platform lists an engine that ended, with its layers, beside the one
/// that was started at its address.
#[test]
fn the_layers_of_a_replaced_engine_are_assigned_again() {
    run_test(2, |system| async move {
        let engine = &system.engines[1];
        let ordered = engine.orders().last().unwrap()["from"].clone();
        let former = system
            .store
            .value(&format!("servers/{}", engine.id))
            .unwrap();
        system.store.put("servers/former", &former);
        engine.restart_empty();
        let start = agatemill_runtime::now();
        let is_ordered = || engine.orders().len() > 1;
        system
            .wait_until("the engine is ordered again", is_ordered)
            .await;
        let order = engine.orders().last().unwrap().clone();
        assert_eq!(
            order["from"], ordered,
            "no other engine holds these layers: {order}"
        );
        let waited = agatemill_runtime::now().saturating_sub(start);
        assert!(waited < MAX_GAP_TIME, "{waited:?}");
        // Entries are read again in any order.
        system.store.put("servers/former", &former);
        agatemill_runtime::sleep(Duration::from_millis(500)).await;
        let view = system.process.state().view();
        let servers = view.servers(&"model".parse().unwrap());
        assert!(!servers.iter().any(|server| server.id.as_str() == "former"));
    });
}

/// Guards against layers that stay missing for as long as the platform lists a lost engine.
#[test]
fn the_layers_of_a_lost_engine_move_before_its_entry_expires() {
    run_test(3, |system| async move {
        let (lost, others) = unbalanced_fleet(&system).await;
        lost.set_behaviour(Behaviour::Down);
        let state = system.process.state();
        state.suspect(lost.address, Evidence::Refused);
        assert_gap_closes(&system, &lost, &others).await;
    });
}

/// Guards against moves for an engine that one request suspected wrongly.
#[test]
fn an_engine_that_reports_keeps_its_layers() {
    run_test(3, |system| async move {
        let (suspect, others) = unbalanced_fleet(&system).await;
        let orders = |engines: &[Engine]| {
            engines
                .iter()
                .map(|engine| engine.orders().len())
                .sum::<usize>()
        };
        let before = orders(&others);
        let state = system.process.state();
        state.suspect(suspect.address, Evidence::Refused);
        agatemill_runtime::sleep(MAX_GAP_TIME).await;
        assert_eq!(orders(&others), before);
    });
}

/// Guards against layers that move away from a sound engine because it refuses further connections, and against layers of
/// one that has ended which are not assigned again at once.
#[test]
fn a_full_engine_keeps_its_layers() {
    run_test(3, |system| async move {
        let (full, others) = unbalanced_fleet(&system).await;
        let orders = || others.iter().map(|engine| engine.orders().len());
        let before: usize = orders().sum();
        let state = system.process.state();
        let connection = Connection::open(state, full.address);
        fill(&system, &full).await;
        let start = agatemill_runtime::now();
        state.suspect(full.address, Evidence::Refused);
        agatemill_runtime::sleep(Duration::from_millis(600)).await;
        let has_moved = orders().sum::<usize>() != before;
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(!has_moved || taken >= USUAL_SILENCE, "{taken:?}");
        drop(connection);
        assert_gap_closes(&system, &full, &others).await;
    });
}

/// Guards against missing layers that are not assigned again while other servers come and go.
#[test]
fn a_gap_is_closed_while_the_fleet_changes() {
    run_test(3, |system| async move {
        let (lost, others) = unbalanced_fleet(&system).await;
        let store = system.store.clone();
        let entry = store.value("servers/s0").unwrap();
        let changes = agatemill_runtime::spawn(async move {
            for number in 0.. {
                store.put(&format!("servers/t{number}"), &entry);
                agatemill_runtime::sleep(Duration::from_millis(300)).await;
            }
        });
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        system.store.remove(&format!("servers/{}", lost.id));
        assert_gap_closes(&system, &lost, &others).await;
        changes.cancel().await;
    });
}

/// The configuration, with a second service that has the same model.
fn two_models(version: u64) -> String {
    let document = document::routes(version, r#""k1""#);
    let (start, end) = document.split_once(r#"{"name":"model","#).unwrap();
    let (model, rest) = end.split_once("}]}}],").unwrap();
    format!(r#"{start}{{"name":"model",{model}}}]}}}},{{"name":"model-2",{model}}}]}}}}],{rest}"#)
}
