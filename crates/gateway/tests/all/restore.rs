//! Tests of hosts whose store comes back from an older copy, with revisions given out again.

use core::time::Duration;

use crate::run_test;
use crate::system::System;
use crate::upstream::start_second_host;
use crate::upstream::version;
use agatemill_gateway::Process;
use agatemill_standin::document;
use agatemill_standin::store::Fault;
use agatemill_standin::store::Leases;

/// Writes a version of the configuration.
fn write_version(system: &System, version: u64) {
    system
        .store
        .put("op/config", &document::routes(version, r#""k1""#));
}

/// Waits until a host has a version of the configuration.
async fn wait_for_version(system: &System, process: &Process, expected: u64) {
    let what = format!("version {expected} is in force");
    system
        .wait_until(&what, || version(process) == expected)
        .await;
}

/// Guards against a host that gets no more changes from the one that it follows, because it compares revisions of two
/// histories.
#[test]
fn a_host_that_follows_another_gets_changes_after_a_restore() {
    run_test(2, |system| async move {
        let (process, endpoint) = start_second_host(&system).await;
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        write_version(&system, 10);
        wait_for_version(&system, &process, 10).await;
        let watches = endpoint.watches();
        system
            .store
            .restore(Duration::from_millis(500), Leases::Kept);
        write_version(&system, 11);
        wait_for_version(&system, &system.process, 11).await;
        wait_for_version(&system, &process, 11).await;
        assert_eq!(endpoint.watches(), watches, "it read the store itself");
    });
}

/// Guards against changes that are skipped because the store has passed the host's revision of an earlier history, which
/// no status reports.
#[test]
fn a_watch_skips_no_changes_of_a_restored_store() {
    run_test(2, |system| async move {
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        write_version(&system, 10);
        wait_for_version(&system, &system.process, 10).await;
        system.store.set_fault(Fault::Busy);
        system
            .store
            .restore(Duration::from_millis(500), Leases::Kept);
        write_version(&system, 11);
        for _ in 0..3 {
            system.store.put("servers/e9", "{}");
        }
        system.store.set_fault(Fault::None);
        wait_for_version(&system, &system.process, 11).await;
    });
}
