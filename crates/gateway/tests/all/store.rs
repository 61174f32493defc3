//! What a host knows of the platform's store.

use core::time::Duration;

use serde_json::json;

use crate::run_test;
use agatemill_standin::document;
use agatemill_standin::store::Fault;

/// Guards against keys that are honoured after they were taken away, in touch with the store and out of it.
#[test]
fn a_key_that_was_taken_away_is_refused_also_out_of_touch() {
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
            "public routes go on"
        );
        assert_eq!(system.ready().await, 503);
        system.store.set_fault(Fault::None);
        // A watch that was waiting when the store fell silent may have brought version 5 already.
        system
            .wait_until("the view is recent again", || state.is_fresh())
            .await;
        assert_eq!(state.view().configuration.as_ref().unwrap().version, 5);
        assert_eq!(system.send_with("pay", "p3", "k3", "").await.status, 200);
    });
}

/// Guards against a version that goes back, and against a view that stays old after the history is gone.
#[test]
fn versions_never_go_back_and_a_dropped_history_is_read_again() {
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
        agatemill_runtime::sleep(Duration::from_millis(300)).await;
        assert_eq!(version(), 6);
        assert_eq!(system.send("pay", "p1").await.status, 200);
    });
}

/// Guards against new work for a server that leaves.
#[test]
fn a_draining_server_gets_nothing_new() {
    run_test(2, |system| async move {
        system.services[0].set_entry("state", json!("draining"));
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        system
            .wait_until("the host knows", || {
                system.process.state().usable_servers(&name).len() == 1
            })
            .await;
        for number in 0..6 {
            assert_eq!(
                system.send("read", &format!("r{number}")).await.body,
                "done by s1"
            );
        }
    });
}

/// Guards against entries that lapsed with the store and are taken for gone though their servers live.
#[test]
fn entries_that_vanish_with_the_store_are_kept_for_a_while() {
    run_test(2, |system| async move {
        system.store.set_fault(Fault::Busy);
        agatemill_runtime::sleep(Duration::from_millis(1_800)).await;
        let key = "servers/s0";
        let entry = system.store.value(key).unwrap();
        system.store.remove(key);
        system.store.remove("servers/s1");
        system.store.set_fault(Fault::None);
        agatemill_runtime::sleep(Duration::from_millis(600)).await;
        assert_eq!(system.send("pay", "p1").await.status, 200);
        system.store.put(key, &entry);
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        system
            .wait_until("the entry that is missing goes", || {
                system.process.state().view().servers(&name).len() == 1
            })
            .await;
    });
}

/// Guards against a write whose answer was lost and that leaves the host unlisted or two planners behind.
#[test]
fn a_lost_answer_to_a_write_is_repaired() {
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

/// Guards against calls to the store that grow while nothing happens; each is priced.
#[test]
fn an_idle_host_calls_the_store_rarely() {
    run_test(2, |system| async move {
        let before = system.store.calls();
        agatemill_runtime::sleep(Duration::from_secs(3)).await;
        let calls = system.store.calls() - before;
        // Two renewals a second at most, and one watch in 1.5 s.
        assert!(calls <= 9, "{calls} calls in 3 s");
    });
}

/// Guards against a host that reads everything over and over, because it holds on to a revision that the store
/// has lost.
#[test]
fn a_store_that_lost_its_newest_revisions_is_followed_again() {
    run_test(2, |system| async move {
        system.store.rewind(3);
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        let before = system.store.calls();
        agatemill_runtime::sleep(Duration::from_secs(2)).await;
        let calls = system.store.calls() - before;
        // Two renewals a second at most, and a watch in 0.7 s.
        assert!(calls <= 9, "{calls} calls in 2 s");
        system
            .store
            .put("op/config", &document::routes(9, r#""k1""#));
        let state = system.process.state().clone();
        let version = || state.view().configuration.as_ref().map(|held| held.version);
        system
            .wait_until("the new version is in force", || version() == Some(9))
            .await;
    });
}
