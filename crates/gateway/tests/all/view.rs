//! Tests of a host's view when its store is restored from an older copy, without a network.

use core::time::Duration;

use serde_json::Value;
use serde_json::json;

use agatemill_adapter::host;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_core::id;
use agatemill_core::number::Era;
use agatemill_core::number::Revision;
use agatemill_fleet::Capacity;
use agatemill_fleet::Member;
use agatemill_fleet::server::Instance;
use agatemill_gateway::View;
use agatemill_platform::Lease;
use agatemill_standin::document;

/// Longer than the entries of a copy are ignored.
const TRUSTED: Duration = Duration::from_secs(10);

/// Start of the second era.
const RESTORE: Duration = Duration::from_secs(100);

/// A time between the copy and the restore.
const LEFT: Duration = Duration::from_secs(91);

/// The entry of a server of a service.
fn entry(service: &str, born: u64, orders: u64, address: &str) -> Value {
    json!({"service": service, "address": address, "zone": "a", "version": "v1", "slots": 8, "state": "ready",
        "cold-left-ms": 0, "seq": orders, "born": born})
}

fn put(key: &str, value: &[u8]) -> Change {
    Change::Put(Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision: Revision(1),
        created: Revision(1),
        lease: Lease(0),
    })
}

fn put_server(name: &str, entry: &Value) -> Change {
    put(&format!("servers/{name}"), entry.to_string().as_bytes())
}

fn deleted(key: &str) -> Change {
    Change::Deleted {
        key: key.to_owned(),
    }
}

/// A view of the first era.
fn view(servers: &[(&str, &Value)]) -> View {
    let mut view = View::default();
    view.era = Era(1);
    for (name, entry) in servers {
        view.apply(put_server(name, entry), Duration::ZERO);
    }
    view
}

/// Number of orders of a server, if it is listed.
fn orders(view: &View, name: &str) -> Option<u64> {
    let name: id::Server = name.parse().unwrap();
    view.server(&name).map(|server| server.orders)
}

/// Guards against layers that a server no longer holds, and a start that has ended, because a copy lists them.
#[test]
fn an_older_entry_of_a_copy_does_not_replace_a_newer_one() {
    let known = entry("model", 5, 7, "10.0.0.1:80");
    let mut view = view(&[("e0", &known)]);
    view.begin_era(Era(2), RESTORE);
    for (born, orders) in [(5, 6), (4, 9)] {
        let older = entry("model", born, orders, "10.0.0.1:80");
        view.apply_restored(put_server("e0", &older), RESTORE);
    }
    assert_eq!(orders(&view, "e0"), Some(7));
    let own = entry("model", 5, 3, "10.0.0.1:80");
    view.apply(put_server("e0", &own), RESTORE);
    assert_eq!(
        orders(&view, "e0"),
        Some(3),
        "what the server writes counts"
    );
    let later = entry("model", 6, 0, "10.0.0.1:80");
    view.apply_restored(put_server("e0", &later), RESTORE);
    assert_eq!(orders(&view, "e0"), Some(0), "a later start is newer");
}

/// Guards against requests to a server that has left, because a copy lists it.
#[test]
fn a_server_that_is_gone_is_not_listed_because_of_a_copy() {
    let known = entry("model", 5, 7, "10.0.0.1:80");
    let unknown = entry("model", 5, 7, "10.0.0.2:80");
    let mut view = view(&[("e0", &known)]);
    view.apply(deleted("servers/e0"), LEFT);
    view.begin_era(Era(2), RESTORE);
    view.apply_restored(put_server("e0", &known), RESTORE);
    view.apply_restored(put_server("e1", &unknown), RESTORE);
    assert_eq!(orders(&view, "e0"), None);
    assert_eq!(orders(&view, "e1"), Some(7), "nothing is known of it");
    let mut alive = view;
    alive.apply(put_server("e0", &known), RESTORE);
    assert_eq!(
        orders(&alive, "e0"),
        Some(7),
        "it has written its entry again"
    );
}

/// Guards against a server that stays unused because the store sees no change in what it writes.
#[test]
fn an_entry_of_a_copy_that_stays_listed_is_used_in_the_end() {
    let known = entry("model", 5, 7, "10.0.0.1:80");
    let mut view = view(&[("e0", &known), ("e1", &known)]);
    view.apply(deleted("servers/e0"), LEFT);
    view.begin_era(Era(2), RESTORE);
    for name in ["e0", "e1"] {
        let older = entry("model", 5, 6, "10.0.0.1:80");
        view.apply_restored(put_server(name, &older), RESTORE);
    }
    view.apply(deleted("servers/e1"), RESTORE + Duration::from_secs(4));
    view.remove_expired(RESTORE + TRUSTED);
    assert_eq!(orders(&view, "e0"), Some(6));
    assert_eq!(orders(&view, "e1"), None, "its entry has expired");
}

/// Guards against an entry of another writer that takes sound servers out of use because it has their address.
#[test]
fn an_entry_of_an_unknown_service_replaces_no_server() {
    let own = entry("model", 1, 1, "10.0.0.1:80");
    let foreign = entry("elsewhere", 2, 1, "10.0.0.1:80");
    let routes = document::routes(3, r#""k1""#);
    let mut view = view(&[]);
    view.apply(put(document::KEY, routes.as_bytes()), Duration::ZERO);
    let name: id::Server = "s1".parse().unwrap();
    for first in [true, false] {
        let mut servers = [("s1", &own), ("s2", &foreign)];
        if first {
            servers.reverse();
        }
        for (id, entry) in servers {
            view.apply(put_server(id, entry), Duration::ZERO);
        }
        let known = view.server(&name).expect("the server stays listed");
        let instance = Instance::from(&**known);
        assert!(!view.is_replaced(&instance, known.address));
    }
    let named = document::routes(4, r#""k1""#).replace(
        r#"{"name":"plain","#,
        r#"{"name":"elsewhere","max-conns":1},{"name":"plain","#,
    );
    view.apply(put(document::KEY, named.as_bytes()), Duration::ZERO);
    assert!(view.server(&name).is_none(), "another one has its address");
    let other: id::Server = "s2".parse().unwrap();
    assert!(view.server(&other).is_some());
}

/// Guards against an address of two services, of which the copy knows the former.
#[test]
fn a_copy_does_not_give_an_address_back_to_its_former_server() {
    let former = entry("model", 5, 7, "10.0.0.1:80");
    let current = entry("plain", 9, 0, "10.0.0.1:80");
    let mut view = view(&[("s9", &current)]);
    view.begin_era(Era(2), RESTORE);
    view.apply_restored(put_server("e0", &former), RESTORE);
    view.apply_restored(deleted("servers/s9"), RESTORE);
    assert_eq!(orders(&view, "e0"), None);
    assert_eq!(orders(&view, "s9"), Some(0), "it may write its entry again");
}

/// Guards against callers that are sent to a host that has left, or left without hosts, because of a copy.
#[test]
fn hosts_of_a_copy_count_until_they_should_have_registered_again() {
    let member = |name: &str| Member {
        host: name.parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        exchange: "10.0.0.1:81".parse().unwrap(),
        capacity: Capacity::default(),
    };
    let put_host = |name: &str, era| {
        let member = member(name);
        put(&host::key(&member.host), &host::encode(&member, era))
    };
    let mut view = view(&[]);
    for name in ["h1", "h2", "h3"] {
        view.apply(put_host(name, Era(1)), Duration::ZERO);
    }
    let left = host::key(&member("h3").host);
    view.apply(deleted(&left), LEFT);
    view.begin_era(Era(2), RESTORE);
    view.apply_restored(put_host("h3", Era(1)), RESTORE);
    assert_eq!(view.members.len(), 2, "the third host had left");
    view.apply(put_host("h1", Era(2)), RESTORE);
    view.remove_expired(RESTORE + Duration::from_secs(2));
    assert_eq!(view.members.len(), 2);
    view.remove_expired(RESTORE + Duration::from_secs(4));
    let names: Vec<&str> = view.members.keys().map(id::Host::as_str).collect();
    assert_eq!(names, ["h1"]);
}

/// Guards against credits of two leaders, one of which has not noticed that its lease is lost.
#[test]
fn a_former_leader_is_expected_for_the_time_of_its_lease() {
    let mut view = view(&[]);
    assert!(!view.may_have_former_leader(RESTORE));
    view.begin_era(Era(2), RESTORE);
    assert!(view.may_have_former_leader(RESTORE + Duration::from_millis(2_900)));
    assert!(!view.may_have_former_leader(RESTORE + Duration::from_secs(3)));
}
