//! Hosts that start, stop, reload and take over from each other.

use core::time::Duration;

use crate::play;
use crate::system::System;
use crate::system::settings;
use agatemill_standin::Engine;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;

/// Guards against a planned stop that cuts a request off, or goes on telling callers to come.
#[test]
fn a_planned_stop_cuts_nothing() {
    play(2, |system| async move {
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
                .until("the request runs", || system.runs("p1") > 0)
                .await;
            state.set_stage(agatemill_gateway::state::Stage::Leaving);
            assert_eq!(system.ready().await, 503);
            assert_eq!(
                system.get(&resolve).await.0,
                503,
                "the only host must not be told to callers"
            );
            let late = system.ask("open", "o1").await;
            assert_eq!(
                late.status, 200,
                "callers that have not heard are still served"
            );
            assert_eq!(late.headers["connection"], "close");
        };
        let (answer, ()) = futures::join!(system.ask("pay", "p1"), leaving);
        assert_eq!(answer.status, 200);
        system.process.close().await;
        assert_eq!(system.store.value("agatemill/hosts/h1"), None);
    });
}

/// Guards against a reload that hands out the retry budget of the window once more.
#[test]
fn a_reload_keeps_the_retry_budget() {
    play(2, |system| async move {
        let state = system.process.state();
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let earn = || (0..20).for_each(|_| state.count_request(&name));
        earn();
        assert!(state.take_repeat(&name));
        while state.take_repeat(&name) {}
        let mut settings = agatemill_gateway::Settings::clone(&state.settings());
        state.set_settings(settings.clone());
        assert!(!state.take_repeat(&name));
        settings.bounds.retry_ratio = 0.4;
        state.set_settings(settings);
        earn();
        assert!(state.take_repeat(&name), "another allowance takes effect");
    });
}

/// Guards against settings that are out of range and stop the process only later.
#[test]
fn settings_out_of_range_are_refused() {
    let text = "host = \"h1\"\nzone = \"a\"\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n\
        directory = \"127.0.0.1:3\"\nmetrics = \"127.0.0.1:4\"\nexchange = \"127.0.0.1:5\"\nstore = \"127.0.0.1:6\"\n\
        [bounds]\nretry_ratio = -1.0\nretry_base = 200\nretry_window = \"10s\"\nrevocation = \"4s\"\ngrace = \"3s\"\n";
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let error = agatemill_gateway::Settings::load(file.path()).unwrap_err();
    assert!(error.to_string().contains("bounds.retry_ratio"), "{error}");
    std::fs::write(file.path(), text.replace("-1.0", "0.2")).unwrap();
    assert!(agatemill_gateway::Settings::load(file.path()).is_ok());
}

/// Guards against orders of a planner that is gone, and against a fleet that nobody plans: the next planner's
/// orders carry a higher fencing number.
#[test]
fn another_host_takes_the_planning_with_a_higher_fence() {
    play(2, |system| async move {
        let fence = |engine: &Engine| engine.orders().last().unwrap()["fence"].as_u64().unwrap();
        let first = fence(&system.engines[0]);
        let second = settings("h2", system.store_address);
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let listed = || system.store.value("agatemill/hosts/h2").is_some();
        system.until("the second host is listed", listed).await;
        let leader = || system.store.value("agatemill/planner").unwrap_or_default();
        assert!(
            leader().starts_with("h1-"),
            "the first host goes on: {}",
            leader()
        );
        let state = system.process.state().clone();
        state.set_stage(agatemill_gateway::state::Stage::Closing);
        system
            .until("the second host leads", || leader().starts_with("h2-"))
            .await;
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        system
            .until("the new engine holds layers", || !late.orders().is_empty())
            .await;
        assert!(fence(&late) > first);
        drop(process);
    });
}

/// Guards against a host that is told to callers after it has died.
#[test]
fn the_directory_names_hosts_that_serve() {
    play(2, |system| async move {
        let second = settings("h2", system.store_address);
        let address = second.callers.to_string();
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let name: agatemill_core::id::Host = "h2".parse().unwrap();
        let state = system.process.state().clone();
        let is_known = || state.view().members.contains_key(&name);
        system.until("both hosts are known", is_known).await;
        let resolve = format!("http://{}/agatemill/resolve?zone=a", system.directory);
        assert!(system.get(&resolve).await.1.contains(&address));
        drop(process);
        system.until("the dead host is gone", || !is_known()).await;
        assert!(!system.get(&resolve).await.1.contains(&address));
    });
}

/// Guards against a planner of several models that forgets what it ordered for one while it plans another, and
/// orders it again with every look.
#[test]
fn engines_of_two_models_are_ordered_once_each() {
    play(2, |system| async move {
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
            // The order is taken, and its effect is not seen for a while.
            engine.set_behaviour(Behaviour::LoadSlowly);
        }
        system
            .until("the engines are ordered", || {
                others.iter().all(|engine| !engine.orders().is_empty())
            })
            .await;
        agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
        for engine in &others {
            assert_eq!(engine.orders().len(), 1, "{:?}", engine.orders());
        }
    });
}

/// Guards against a host that is ready and not listed for the time of a renewal.
#[test]
fn a_host_is_listed_as_soon_as_it_is_ready() {
    play(2, |system| async move {
        let second = settings("h2", system.store_address);
        let process = agatemill_gateway::Process::start(second).await.unwrap();
        let is_ready = || process.state().is_ready();
        system.until("the second host is ready", is_ready).await;
        let ready = agatemill_runtime::now();
        let is_listed = || system.store.value("agatemill/hosts/h2").is_some();
        system.until("the second host is listed", is_listed).await;
        let waited = agatemill_runtime::now().saturating_sub(ready);
        assert!(waited < Duration::from_millis(500), "{waited:?}");
    });
}

/// Guards against an engine that stays empty for seconds because the answer to one order was lost.
#[test]
fn an_order_without_an_answer_is_given_again() {
    play(2, |system| async move {
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        late.set_behaviour(Behaviour::IgnoreOrders);
        // The fleet has to be calm, and the first order has to meet the deaf engine.
        agatemill_runtime::sleep(Duration::from_millis(900)).await;
        late.set_behaviour(Behaviour::Serve);
        let start = agatemill_runtime::now();
        system
            .until("the engine is ordered again", || !late.orders().is_empty())
            .await;
        let waited = agatemill_runtime::now().saturating_sub(start);
        assert!(waited < CLOSED, "{waited:?}");
        agatemill_runtime::sleep(CLOSED).await;
        assert_eq!(late.orders().len(), 1);
    });
}

/// A fleet with one holder of one half of the layers and two of the other: the single holder and one of the two.
async fn uneven(system: &System) -> (Engine, Vec<Engine>) {
    let range = |engine: &Engine| engine.orders().last().map(|order| order["from"].clone());
    system
        .until("all engines hold layers", || {
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

/// Time within which a gap is closed: far below the seconds for which the platform lists a lost engine.
const CLOSED: Duration = Duration::from_millis(2_500);

async fn closes(system: &System, lost: &Engine, others: &[Engine]) {
    let from = lost.orders().last().unwrap()["from"].clone();
    let start = agatemill_runtime::now();
    let is_closed = || {
        others
            .iter()
            .any(|engine| engine.orders().last().unwrap()["from"] == from)
    };
    system
        .until("another engine takes the layers", is_closed)
        .await;
    let taken = agatemill_runtime::now().saturating_sub(start);
    assert!(taken < CLOSED, "{taken:?}");
}

/// Guards against layers that are missing for as long as the platform lists an engine that is lost.
#[test]
fn the_layers_of_a_lost_engine_move_before_its_entry_goes() {
    play(3, |system| async move {
        let (lost, others) = uneven(&system).await;
        lost.set_behaviour(Behaviour::Down);
        let state = system.process.state();
        state.suspect(lost.address, Duration::from_secs(4), "test");
        closes(&system, &lost, &others).await;
    });
}

/// Guards against moves for an engine that only looked lost to a request.
#[test]
fn an_engine_that_reports_keeps_its_layers() {
    play(3, |system| async move {
        let (suspect, others) = uneven(&system).await;
        let orders = |engines: &[Engine]| {
            engines
                .iter()
                .map(|engine| engine.orders().len())
                .sum::<usize>()
        };
        let before = orders(&others);
        let state = system.process.state();
        state.suspect(suspect.address, Duration::from_secs(4), "test");
        agatemill_runtime::sleep(CLOSED).await;
        assert_eq!(orders(&others), before);
    });
}

/// Guards against gaps that stay open while engines come and go elsewhere.
#[test]
fn a_gap_is_closed_while_the_fleet_changes() {
    play(3, |system| async move {
        let (lost, others) = uneven(&system).await;
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
        closes(&system, &lost, &others).await;
        changes.cancel().await;
    });
}

/// The configuration with a second service that has the same model.
fn two_models(version: u64) -> String {
    let document = document::routes(version, r#""k1""#);
    let (start, end) = document.split_once(r#"{"name":"model","#).unwrap();
    let (model, rest) = end.split_once("}]}}],").unwrap();
    format!(r#"{start}{{"name":"model",{model}}}]}}}},{{"name":"model-2",{model}}}]}}}}],{rest}"#)
}
