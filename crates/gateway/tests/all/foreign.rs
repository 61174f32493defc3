//! Tests of entries of other writers among those of the servers.

use core::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::complete_stream;
use crate::run_test;

/// An entry whose layers the model does not have.
fn entry() -> Value {
    json!({"service": "model", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1, "kind": "card", "layers": {"from": 20, "target": 24}})
}

/// Guards against engines that get no layers any more because an entry lists some that the model does not have.
#[test]
fn an_entry_with_layers_outside_the_model_does_not_end_the_planner() {
    run_test(2, |system| async move {
        system.store.put("servers/other-1", &entry().to_string());
        // The planner reads the entry several times.
        agatemill_runtime::sleep(Duration::from_secs(1)).await;
        for engine in &system.engines {
            engine.restart_empty();
        }
        system
            .wait_until("the engines are ordered again", || {
                system
                    .engines
                    .iter()
                    .all(|engine| engine.orders().len() > 1)
            })
            .await;
        let mut response = system.send("draft", "a0").await;
        for number in 1..40 {
            if response.status == 200 {
                break;
            }
            // The view may not list the layers yet.
            agatemill_runtime::sleep(Duration::from_millis(100)).await;
            response = system.send("draft", &format!("a{number}")).await;
        }
        assert_eq!(response.body, complete_stream());
    });
}

/// Guards against requests that are sent to a server whose entry comes from another writer.
#[test]
fn an_entry_without_a_required_field_names_no_server() {
    run_test(2, |system| async move {
        for field in ["slots", "version", "cold-left-ms", "seq"] {
            let mut entry = entry();
            entry["service"] = json!("plain");
            entry.as_object_mut().unwrap().remove(field);
            let key = format!("servers/without-{field}");
            system.store.put(&key, &entry.to_string());
        }
        let mut whole = entry();
        whole["service"] = json!("plain");
        system.store.put("servers/whole", &whole.to_string());
        let name: agatemill_core::id::Service = "plain".parse().unwrap();
        let ids = || {
            let view = system.process.state().view();
            let servers = view.servers(&name).iter();
            servers
                .map(|server| server.id.to_string())
                .collect::<Vec<_>>()
        };
        system
            .wait_until("the whole entry is listed", || {
                ids().contains(&"whole".into())
            })
            .await;
        assert!(
            !ids().iter().any(|id| id.starts_with("without")),
            "{:?}",
            ids()
        );
    });
}
