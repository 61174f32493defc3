//! Tests of hosts when the store returns after an outage.

use core::time::Duration;

use crate::run_test;
use crate::system::System;
use crate::upstream::start_second_host;
use crate::upstream::version;
use agatemill_adapter::host;
use agatemill_core::number::Revision;
use agatemill_fleet::history::Cursor;
use agatemill_gateway::Process;
use agatemill_gateway::feed::Update;
use agatemill_standin::document;
use agatemill_standin::store::Fault;

/// Interval between checks of the version in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of checks within which a change must be in force after the store has returned: two seconds. Time in which this
/// process does not run counts as one check.
const MAX_CHECKS: u32 = 200;

/// Writes a version and checks that a host has it in time.
async fn assert_applied_in_time(system: &System, process: &Process, new: u64) {
    system
        .store
        .put("op/config", &document::routes(new, r#""k1""#));
    for _ in 0..MAX_CHECKS {
        if version(process) == new {
            return;
        }
        agatemill_runtime::sleep(CHECK_INTERVAL).await;
    }
    panic!("version {new} is not in force in time");
}

/// Waits until a host has lost the store.
async fn wait_until_lost(system: &System, process: &Process) {
    let state = process.state();
    let last = Cursor {
        era: state.store.era(),
        revision: Revision(u64::MAX),
    };
    let is_lost = || state.feed.changes_since(last) == Update::Unknown;
    system
        .wait_until("the host has lost the store", is_lost)
        .await;
}

/// Guards against a change that waits for a call which reached the store while it was silent and gets no response.
#[test]
fn a_call_without_a_response_delays_no_change_after_an_outage() {
    run_test(2, |system| async move {
        system.store.set_fault(Fault::Silent);
        wait_until_lost(&system, &system.process).await;
        for new in 10..13 {
            system.store.set_fault(Fault::Silent);
            let before = system.store.reads();
            system
                .wait_until("a call gets no response", || system.store.reads() > before)
                .await;
            system.store.set_fault(Fault::None);
            assert_applied_in_time(&system, &system.process, new).await;
        }
    });
}

/// Guards against a host that asks no source for longer than a change may take, because all have failed.
#[test]
fn sources_that_failed_before_the_store_returned_delay_no_change() {
    run_test(2, |mut system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        system.store.set_fault(Fault::Busy);
        let third = Process::start(crate::system::settings("h3", system.store_address));
        drop(core::mem::replace(
            &mut system.process,
            third.await.unwrap(),
        ));
        wait_until_lost(&system, &process).await;
        for new in 10..13 {
            system.store.set_fault(Fault::Busy);
            let before = endpoint.calls();
            system
                .wait_until("a call fails", || endpoint.calls() > before)
                .await;
            system.store.set_fault(Fault::None);
            assert_applied_in_time(&system, &process, new).await;
        }
    });
}

/// Guards against a host that stays behind because the one that it follows was restarted and knows no earlier changes.
#[test]
fn a_restarted_host_supplies_a_host_that_is_behind() {
    run_test(2, |mut system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        endpoint.refuse_calls();
        let other = Process::start(crate::system::settings("h9", system.store_address));
        drop(core::mem::replace(
            &mut system.process,
            other.await.unwrap(),
        ));
        let key = "servers/s1";
        system.store.remove(key);
        system.store.put("servers/e9", "{}");
        system.process = loop {
            match Process::start(system.settings.clone()).await {
                Ok(process) => break process,
                Err(_) => agatemill_runtime::sleep(CHECK_INTERVAL).await,
            }
        };
        assert_applied_in_time(&system, &process, 10).await;
        let grace = process.state().view().deletion_grace(Duration::ZERO);
        assert!(!grace.is_zero(), "entries may have expired in an outage");
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let servers = || process.state().view().servers(&name).len();
        system
            .wait_until("the removed server is gone", || servers() == 1)
            .await;
    });
}

/// Guards against engines that get layers of others whose entries expired in the outage and are not back yet.
#[test]
fn a_leader_that_starts_in_an_outage_waits_for_entries_that_expired() {
    run_test(4, |mut system| async move {
        let orders = |system: &System| -> usize {
            let engines = system.engines.iter();
            engines.map(|engine| engine.orders().len()).sum()
        };
        system.store.set_fault(Fault::Busy);
        let fresh = Process::start(crate::system::settings("h2", system.store_address));
        drop(core::mem::replace(
            &mut system.process,
            fresh.await.unwrap(),
        ));
        let before = system.store.reads();
        system
            .wait_until("the new process has lost the store", || {
                system.store.reads() > before + 1
            })
            .await;
        let first = system.first_engine().orders().last().unwrap()["from"].clone();
        let others = system.engines.iter();
        let others = others.filter(|engine| engine.orders().last().unwrap()["from"] != first);
        let keys: Vec<String> = others
            .map(|engine| format!("servers/{}", engine.id))
            .collect();
        let entries = keys.iter().map(|key| system.store.value(key).unwrap());
        let entries: Vec<String> = entries.collect();
        for key in &keys {
            system.store.remove(key);
        }
        system.store.remove(host::PLANNER);
        let known = orders(&system);
        system.store.set_fault(Fault::None);
        system
            .wait_until("the new process leads", || {
                system.store.value(host::PLANNER).is_some()
            })
            .await;
        agatemill_runtime::sleep(Duration::from_millis(700)).await;
        for (key, entry) in keys.iter().zip(&entries) {
            system.store.put(key, entry);
        }
        system.wait_for_layers().await;
        agatemill_runtime::sleep(Duration::from_secs(2)).await;
        assert_eq!(orders(&system), known, "engines got other layers");
    });
}
