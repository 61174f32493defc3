//! Tests of hosts whose store comes back from an older copy, with revisions given out again.

use core::time::Duration;

use serde_json::json;

use crate::run_test;
use crate::system::System;
use crate::upstream::start_second_host;
use crate::upstream::version;
use agatemill_adapter::host;
use agatemill_adapter::quarantine;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_adapter::store::Store as Client;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_fleet::prompt::Segment;
use agatemill_fleet::quarantine::entry::Entry;
use agatemill_gateway::Process;
use agatemill_platform::Lease;
use agatemill_standin::Engine;
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

/// Time after which a host that is not listed has missed several renewals.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);

fn fence(engine: &Engine) -> u64 {
    engine.orders().last().unwrap()["fence"].as_u64().unwrap()
}

/// Guards against a host that stays unlisted because it renews a lease that the restored store has granted to another.
#[test]
fn a_host_does_not_renew_the_lease_of_another_after_a_restore() {
    run_test(2, |system| async move {
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let (process, _) = start_second_host(&system).await;
        system.store.restore(Duration::from_mins(1), Leases::Kept);
        let client = Client::new(system.store_address, Duration::from_secs(1));
        for _ in 0..4 {
            client.grant(Duration::from_mins(1)).await.unwrap();
        }
        for host in ["h1", "h2"] {
            let key = format!("{}{host}", host::PREFIX);
            system
                .wait_until("the host is listed again", || {
                    system.store.value(&key).is_some()
                })
                .await;
        }
        agatemill_runtime::sleep(SETTLE_TIME).await;
        let members = process.state().view().members.len();
        assert_eq!(members, 2, "the hosts do not stay listed");
    });
}

/// Guards against hosts that no longer are listed, or lead, because their leases are lost or their keys have none.
#[test]
fn hosts_register_and_lead_again_after_a_restore() {
    for leases in [Leases::Kept, Leases::Lost, Leases::Orphaned] {
        run_test(2, |system| async move {
            let (process, _) = start_second_host(&system).await;
            system.store.restore(Duration::from_millis(300), leases);
            agatemill_runtime::sleep(SETTLE_TIME).await;
            assert_eq!(process.state().view().members.len(), 2, "{leases:?}");
            let planner = system.store.value(host::PLANNER);
            assert!(planner.is_some(), "no host leads, {leases:?}");
            let late = Engine::start(&system.store, "e9", "model", Some("card"));
            system
                .wait_until("the new engine holds layers", || !late.orders().is_empty())
                .await;
        });
    }
}

/// Guards against orders that engines refuse after a restore, because they have seen a higher fencing number.
#[test]
fn orders_after_a_restore_carry_a_higher_fence() {
    run_test(2, |mut system| async move {
        let former = fence(&system.engines[0]);
        // The next leadership begins at a lower revision than the former one.
        system.store.restore(Duration::from_mins(1), Leases::Lost);
        system.replace_host().await;
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        system
            .wait_until("the new engine holds layers", || !late.orders().is_empty())
            .await;
        assert!(fence(&late) > former, "{} after {former}", fence(&late));
    });
}

/// Guards against a leader that repeats an order with a fencing number which an engine has refused.
#[test]
fn a_refused_fencing_number_is_not_used_again() {
    run_test(2, |system| async move {
        let known = fence(&system.engines[0]);
        let late = Engine::start(&system.store, "e9", "model", Some("card"));
        late.see_fence(known + 1);
        system
            .wait_until("the new engine holds layers", || !late.orders().is_empty())
            .await;
        let mut refused = late.fenced();
        assert!(!refused.is_empty());
        refused.dedup();
        assert_eq!(refused, late.fenced());
    });
}

/// Guards against a fleet without a leader, and callers that are sent to a host that has ended, because the copy lists it
/// and its keys have no lease.
#[test]
fn entries_of_a_host_that_has_ended_do_not_outlive_a_restore() {
    run_test(2, |mut system| async move {
        let (process, _) = start_second_host(&system).await;
        let third = Process::start(crate::system::settings("h3", system.store_address));
        drop(core::mem::replace(
            &mut system.process,
            third.await.unwrap(),
        ));
        system
            .store
            .restore(Duration::from_millis(100), Leases::Orphaned);
        let first: id::Host = "h1".parse().unwrap();
        system
            .wait_until("the host is no longer listed", || {
                !process.state().view().members.contains_key(&first)
            })
            .await;
        let leader = || system.store.value(host::PLANNER).unwrap_or_default();
        system
            .wait_until("another host leads", || {
                leader().starts_with("h2-") || leader().starts_with("h3-")
            })
            .await;
    });
}

/// Guards against new requests to a server that drains, because the copy lists it as ready.
#[test]
fn a_draining_server_gets_no_requests_after_a_restore() {
    run_test(2, |system| async move {
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let state = system.process.state();
        let name: id::Service = "plain".parse().unwrap();
        system.services[0].set_entry("state", json!("draining"));
        system
            .wait_until("the host sees the draining server", || {
                state.usable_servers(&name).len() == 1
            })
            .await;
        let ready = system.store.era();
        system
            .store
            .restore(Duration::from_millis(700), Leases::Kept);
        system
            .wait_until("the host follows the restored store", || {
                state.view().era.0 > ready
            })
            .await;
        for _ in 0..20 {
            assert_eq!(state.usable_servers(&name).len(), 1);
            agatemill_runtime::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against quarantined parts that processes which start later do not learn of, and against writes of all hosts.
#[test]
fn quarantined_parts_are_written_again_once_after_a_restore() {
    run_test(2, |system| async move {
        let (process, _) = start_second_host(&system).await;
        let segment = Segment(0xdead);
        for state in [system.process.state(), process.state()] {
            let now = agatemill_runtime::now();
            let entry = Entry::new(segment, &[], now);
            state.quarantine().insert(segment, entry, now);
        }
        let key = quarantine::key(segment);
        let is_stored = || system.store.value(&key).is_some();
        system.wait_until("the part is stored", is_stored).await;
        system.store.restore(Duration::from_mins(1), Leases::Lost);
        assert_eq!(system.store.value(&key), None);
        system
            .wait_until("the part is stored again", is_stored)
            .await;
        agatemill_runtime::sleep(SETTLE_TIME).await;
        assert_eq!(system.store.writes(&key), 1);
    });
}

/// Guards against a key that was revoked and is accepted again by a host that starts with the configuration of a copy.
#[test]
fn a_host_that_starts_after_a_restore_does_not_accept_a_revoked_key() {
    run_test(2, |system| async move {
        system.store.set_rewrite_time(Duration::from_mins(1));
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        write_version(&system, 10);
        wait_for_version(&system, &system.process, 10).await;
        system
            .store
            .restore(Duration::from_millis(500), Leases::Kept);
        let settings = crate::system::settings("h2", system.store_address);
        let late = Process::start(settings).await.unwrap();
        system
            .wait_until("the new host accepts keys", || late.state().is_fresh())
            .await;
        assert_eq!(version(&late), 10);
        let view = late.state().view();
        let keys = view.configuration.as_ref().unwrap().keys.clone().unwrap();
        assert!(!keys.contains_key("k2"), "the key was revoked");
    });
}

/// Guards against a revoked key that a host accepts although another one knows a newer configuration than the store.
#[test]
fn a_configuration_that_one_host_knows_reaches_the_others() {
    run_test(2, |system| async move {
        let (process, _) = start_second_host(&system).await;
        let item = Item {
            key: "op/config".to_owned(),
            value: document::routes(10, r#""k1""#).into_bytes(),
            revision: Revision(1),
            created: Revision(1),
            lease: Lease(0),
        };
        let now = agatemill_runtime::now();
        process.state().view().apply(Change::Put(item), now);
        wait_for_version(&system, &system.process, 10).await;
    });
}
