//! Tests of the view that a host has of the platform's store.

use core::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::run_test;
use crate::system::System;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_fleet::history::Cursor;
use agatemill_gateway::View;
use agatemill_gateway::feed::Update;
use agatemill_platform::Lease;
use agatemill_standin::document;
use agatemill_standin::store::Fault;

/// Adds a server that gets no requests, and waits until the host has read it and all earlier changes.
async fn put_marker(system: &System) {
    let entry = system.store.value("servers/s0").unwrap();
    let mut entry: Value = serde_json::from_str(&entry).unwrap();
    entry["state"] = json!("draining");
    system.store.put("servers/s9", &entry.to_string());
    let name: id::Service = "plain".parse().unwrap();
    system
        .wait_until("the host has read the last change", || {
            let view = system.process.state().view();
            view.servers(&name)
                .iter()
                .any(|server| server.id.to_string() == "s9")
        })
        .await;
}

/// Waits until requests with keys are served, which a process that did not run for a while rejects.
async fn wait_for_fresh_view(system: &System) {
    let state = system.process.state();
    system
        .wait_until("the view is recent", || state.is_fresh())
        .await;
}

/// Checks that the host calls the store at most `limit` times in a time, or as often in proportion if more time passes.
/// Measures again if the host has registered anew meanwhile, as a process that did not run for a while does.
async fn assert_call_rate(system: &System, limit: u32, time: Duration) {
    let planner = || system.process.state().view().planner.clone();
    for _ in 0..3 {
        let (known, start, before) = (planner(), agatemill_runtime::now(), system.store.calls());
        agatemill_runtime::sleep(time).await;
        let calls = u32::try_from(system.store.calls() - before).unwrap();
        let passed = agatemill_runtime::now().saturating_sub(start);
        if known.is_some() && planner() == known {
            assert!(
                time * calls <= passed * limit,
                "{calls} calls in {passed:?}"
            );
            return;
        }
    }
    panic!("the host does not stay registered");
}

/// Guards against requests with keys that are refused while the store responds but has no changes.
#[test]
fn a_quiet_store_keeps_the_view_fresh() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let end = agatemill_runtime::now() + Duration::from_secs(6);
        while agatemill_runtime::now() < end {
            assert!(state.is_fresh());
            agatemill_runtime::sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against revoked keys that are still accepted, with the store reachable or not.
#[test]
fn a_revoked_key_is_refused_also_without_the_store() {
    run_test(2, |system| async move {
        system
            .store
            .put("op/config", &document::routes(4, r#""k1""#));
        let state = system.process.state();
        system
            .wait_until("version 4 is in force", || {
                state
                    .view()
                    .configuration
                    .as_ref()
                    .is_some_and(|known| known.version == 4)
            })
            .await;
        wait_for_fresh_view(&system).await;
        assert_eq!(system.send_with("pay", "p1", "k2", "").await.status, 401);
        system.store.set_fault(Fault::Silent);
        system
            .store
            .put("op/config", &document::routes(5, r#""k3""#));
        system
            .wait_until("the view is too old", || !state.is_fresh())
            .await;
        assert_eq!(system.send("pay", "p2").await.status, 503);
        assert_eq!(system.run_count("p2"), 0);
        assert_eq!(
            system.send("open", "o1").await.status,
            200,
            "public routes are still served"
        );
        assert_eq!(system.ready().await, 503);
        system.store.set_fault(Fault::None);
        // A watch that was pending when the store went silent may have returned version 5 already.
        wait_for_fresh_view(&system).await;
        assert_eq!(state.view().configuration.as_ref().unwrap().version, 5);
        assert_eq!(system.send_with("pay", "p3", "k3", "").await.status, 200);
    });
}

/// Guards against a configuration version that decreases, and against a stale view after the store compacted its
/// history.
#[test]
fn versions_never_decrease_and_a_compacted_history_is_reread() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let version = || state.view().configuration.as_ref().unwrap().version;
        system
            .store
            .put("op/config", &document::routes(2, r#""k9""#));
        system.store.compact();
        system
            .store
            .put("op/config", &document::routes(6, r#""k1""#));
        system
            .wait_until("version 6 is in force", || version() == 6)
            .await;
        system
            .store
            .put("op/config", &document::routes(5, r#""k9""#));
        system.store.put("servers/e9", "{}");
        system.store.compact();
        put_marker(&system).await;
        assert_eq!(version(), 6);
        wait_for_fresh_view(&system).await;
        assert_eq!(system.send("pay", "p1").await.status, 200);
    });
}

/// Guards against new requests to a server that is draining.
#[test]
fn a_draining_server_gets_no_new_requests() {
    run_test(2, |system| async move {
        system.services[0].set_entry("state", json!("draining"));
        let name: id::Service = "plain".parse().unwrap();
        system
            .wait_until("the host sees the draining server", || {
                system.process.state().usable_servers(&name).len() == 1
            })
            .await;
        for number in 0..6 {
            wait_for_fresh_view(&system).await;
            assert_eq!(
                system.send("read", &format!("r{number}")).await.body,
                "done by s1"
            );
        }
    });
}

/// Guards against the removal of entries that expired in an outage of the store while their servers are alive.
#[test]
fn entries_that_expire_in_an_outage_are_kept_for_a_grace_period() {
    run_test(2, |system| async move {
        let state = system.process.state();
        let last = Cursor {
            era: state.store.era(),
            revision: Revision(u64::MAX),
        };
        system.store.set_fault(Fault::Busy);
        system
            .wait_until("the host has lost the store", || {
                state.feed.changes_since(last) == Update::Unknown
            })
            .await;
        let key = "servers/s0";
        let entry = system.store.value(key).unwrap();
        system.store.remove(key);
        system.store.remove("servers/s1");
        system
            .store
            .put("op/config", &document::routes(4, r#""k1""#));
        system.store.set_fault(Fault::None);
        system
            .wait_until("version 4 is in force", || {
                state.view().configuration.as_ref().unwrap().version == 4
            })
            .await;
        let name: id::Service = "plain".parse().unwrap();
        {
            let view = state.view();
            let has_had_grace = !view.deletion_grace(Duration::ZERO).is_zero();
            assert!(has_had_grace, "no grace period began");
            // A process that does not run for a while may get here after the grace period.
            let is_over = view.deletion_grace(agatemill_runtime::now()).is_zero();
            assert!(is_over || view.servers(&name).len() == 2);
        }
        let response = system.send("pay", "p1").await;
        let grace = state.view().deletion_grace(agatemill_runtime::now());
        assert!(response.status == 200 || grace.is_zero(), "{response:?}");
        system.store.put(key, &entry);
        system
            .wait_until("only the missing entry is removed", || {
                let view = state.view();
                let servers = view.servers(&name);
                servers.len() == 1 && servers[0].id.to_string() == "s0"
            })
            .await;
    });
}

fn item(key: &str) -> Item {
    let entry = json!({"service": "plain", "address": "127.0.0.1:9000", "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1_700_000_000_000_u64});
    Item {
        key: key.to_owned(),
        value: entry.to_string().into_bytes(),
        revision: Revision(1),
        created: Revision(1),
        lease: Lease(0),
    }
}

/// Guards against entries that are removed before the end of the grace period, or kept after it.
#[test]
fn entries_deleted_in_the_grace_period_are_removed_at_its_end() {
    let mut view = View::default();
    let name: id::Service = "plain".parse().unwrap();
    let deleted = |key: &str| Change::Deleted {
        key: key.to_owned(),
    };
    let at = Duration::from_millis;
    for key in ["servers/s0", "servers/s1", "servers/s2"] {
        view.apply(Change::Put(item(key)), at(0));
    }
    view.apply(deleted("servers/s2"), at(500));
    assert_eq!(view.servers(&name).len(), 2, "no grace without an outage");
    view.start_deletion_grace(at(1_000));
    view.apply(deleted("servers/s0"), at(1_100));
    view.apply(deleted("servers/s1"), at(2_900));
    view.apply(Change::Put(item("servers/s0")), at(2_950));
    view.remove_expired(at(2_999));
    assert_eq!(view.servers(&name).len(), 2);
    view.remove_expired(at(3_000));
    assert_eq!(view.servers(&name).len(), 1);
    assert_eq!(view.servers(&name)[0].id.to_string(), "s0");
}

/// Guards against requests to a server that has left, because the host that this one follows was cut off from the store for a
/// while, and against the removal of entries that expired in an outage of the store itself.
#[test]
fn entries_are_kept_for_another_host_only_without_the_store() {
    let name: id::Service = "plain".parse().unwrap();
    let ms = Duration::from_millis;
    // Ages of the view when the other host has 1.5 of 2 s left.
    for (age, kept) in [(Some(ms(1_400)), 0), (Some(ms(2_500)), 1), (None, 1)] {
        let mut view = View::default();
        let key = "servers/s0".to_owned();
        view.apply(Change::Put(item(&key)), ms(0));
        view.follow_deletion_grace(ms(1_500), age, ms(5_000));
        view.apply(Change::Deleted { key }, ms(5_300));
        assert_eq!(view.servers(&name).len(), kept, "{age:?}");
        view.remove_expired(ms(6_500));
        assert!(view.servers(&name).is_empty(), "{age:?}");
    }
}

/// Guards against a host that stays unlisted, or a second planner, after the response to a write was lost.
#[test]
fn a_lost_response_to_a_write_is_recovered() {
    run_test(2, |system| async move {
        system.store.remove("agatemill/planner");
        system.store.set_fault(Fault::AnswersLost);
        agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
        system.store.set_fault(Fault::None);
        system
            .wait_until("the host leads again", || {
                system.store.value("agatemill/planner").is_some()
            })
            .await;
        system
            .wait_until("the host is listed", || {
                system.store.value("agatemill/hosts/h1").is_some()
            })
            .await;
    });
}

/// Guards against an increase of store calls while nothing changes; each call is priced.
#[test]
fn an_idle_host_calls_the_store_rarely() {
    run_test(2, |system| async move {
        // At most two renewals a second, and one watch in 1.5 s.
        assert_call_rate(&system, 9, Duration::from_secs(3)).await;
    });
}

/// Guards against a host that reads snapshots in a loop, because it keeps a revision that the store has lost.
#[test]
fn a_store_that_lost_its_newest_revisions_is_followed_again() {
    run_test(2, |system| async move {
        // More revisions than writes follow, so that the store does not reach the host's revision again unnoticed.
        system.store.rewind(8);
        put_marker(&system).await;
        // At most two renewals a second, and one watch in 0.7 s.
        assert_call_rate(&system, 9, Duration::from_secs(2)).await;
        system
            .store
            .put("op/config", &document::routes(9, r#""k1""#));
        let state = system.process.state().clone();
        let version = || {
            state
                .view()
                .configuration
                .as_ref()
                .map(|current| current.version)
        };
        system
            .wait_until("the new version is in force", || version() == Some(9))
            .await;
    });
}
