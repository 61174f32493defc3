//! Tests of hosts that follow the store through another host.

use core::time::Duration;

use crate::run_test;
use crate::system::System;
use crate::system::settings;
use agatemill_gateway::Process;
use agatemill_standin::document;
use agatemill_standin::store::Endpoint;

/// Time within which a change must be in force at every host.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Starts a second host in the same zone, with its own endpoint of the store. It follows the first host.
pub async fn start_second_host(system: &System) -> (Process, Endpoint) {
    let (address, endpoint) = system.store.open_endpoint();
    let process = Process::start(settings("h2", address)).await.unwrap();
    let name: agatemill_core::id::Host = "h2".parse().unwrap();
    let lists = |process: &Process| process.state().view().members.contains_key(&name);
    system
        .wait_until("both hosts list each other", || {
            lists(&process) && lists(&system.process)
        })
        .await;
    (process, endpoint)
}

pub fn version(process: &Process) -> u64 {
    let view = process.state().view();
    view.configuration
        .as_ref()
        .map_or(0, |configuration| configuration.version)
}

async fn apply_version(system: &System, process: &Process, new: u64) {
    let written_at = agatemill_runtime::now();
    system
        .store
        .put("op/config", &document::routes(new, r#""k1""#));
    let what = format!("version {new} is in force");
    system.wait_until(&what, || version(process) == new).await;
    let elapsed = agatemill_runtime::now().saturating_sub(written_at);
    assert!(elapsed < MAX_PROPAGATION_TIME, "{new} took {elapsed:?}");
}

/// Guards against a store watch by every host; each response is a priced call.
#[test]
fn a_host_follows_the_first_of_its_zone() {
    run_test(2, |system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = endpoint.watches();
        for version in 10..14 {
            apply_version(&system, &process, version).await;
        }
        assert_eq!(
            endpoint.watches(),
            before,
            "the second host watched the store"
        );
        assert!(process.state().is_ready());
    });
}

/// Guards against a host whose view stays stale because the host that it follows is gone.
#[test]
fn a_host_whose_upstream_is_gone_queries_the_store() {
    run_test(2, |mut system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = endpoint.watches();
        let third = Process::start(settings("h3", system.store_address))
            .await
            .unwrap();
        drop(core::mem::replace(&mut system.process, third));
        apply_version(&system, &process, 10).await;
        assert!(endpoint.watches() > before);
    });
}

/// Guards against a host that refuses requests with keys because the store rejects its calls, although another
/// host could supply all changes.
#[test]
fn a_host_that_the_store_rejects_still_serves() {
    run_test(2, |system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        endpoint.refuse_calls();
        apply_version(&system, &process, 10).await;
        // Longer than the time for which a view without updates counts as fresh.
        agatemill_runtime::sleep(Duration::from_secs(4)).await;
        assert!(process.state().is_ready());
        apply_version(&system, &process, 11).await;
    });
}

/// Guards against a snapshot read by every host when the store compacts its history.
#[test]
fn a_compacted_history_is_reread_by_one_host() {
    run_test(2, |system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = endpoint.calls();
        let watches = endpoint.watches();
        system.store.compact();
        system.store.remove("servers/s1");
        apply_version(&system, &process, 10).await;
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let servers = || process.state().view().servers(&name).len();
        system
            .wait_until("the removed server is gone", || servers() == 1)
            .await;
        assert_eq!(endpoint.watches(), watches);
        // The host's only calls are lease renewals.
        assert!(
            endpoint.calls() <= before + 6,
            "{} calls",
            endpoint.calls() - before
        );
    });
}
