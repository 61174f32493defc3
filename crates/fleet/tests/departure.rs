//! Which servers get no new requests because they have announced that they leave.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_fleet::Departures;
use agatemill_fleet::Server;
use agatemill_fleet::server::Instance;
use agatemill_fleet::server::State;
use agatemill_fleet::tally;

/// Longer than any instance is remembered that is not listed.
const FORGOTTEN: Duration = Duration::from_mins(10);

fn server(name: &str, born_ms: u64) -> Server {
    let id: id::Server = name.parse().unwrap();
    Server {
        key: tally::Key::from(&id),
        id,
        born_ms,
        service: "model".parse().unwrap(),
        address: "10.0.0.1:8080".parse().unwrap(),
        zone: "a".parse().unwrap(),
        state: State::Ready,
        slots: 8,
        accelerator: None,
        layers: None,
        orders: 0,
    }
}

fn holder(name: &str, from: u32, to: u32) -> Arc<Server> {
    let mut server = server(name, 1);
    server.layers = Some(layer::Range::new(from, to).unwrap());
    Arc::new(server)
}

fn with_departure(server: &Server) -> Departures {
    let mut departures = Departures::default();
    assert!(departures.record(Instance::from(server)));
    departures
}

/// What the platform lists: the starts of servers by name.
fn list(listed: &[(&str, u64)]) -> impl Fn(&id::Server) -> Option<u64> {
    let listed: HashMap<String, u64> = listed
        .iter()
        .map(|(name, born_ms)| ((*name).to_owned(), *born_ms))
        .collect();
    move |server| listed.get(server.as_str()).copied()
}

/// Guards against runs that wait for a server that was started again, and against sound ones whose server counts as replaced.
#[test]
fn a_later_start_at_its_address_follows_an_instance() {
    let instance = Instance::from(&server("s1", 5));
    assert!(instance.is_followed_by(&server("s1", 6)));
    assert!(instance.is_followed_by(&server("s2", 5)));
    assert!(!instance.is_followed_by(&server("s1", 5)));
    // An older entry that is listed late, and entries that do not say when their servers started.
    assert!(!instance.is_followed_by(&server("s1", 4)));
    assert!(!instance.is_followed_by(&server("s1", 0)));
    let unknown = Instance::from(&server("s1", 0));
    assert!(!unknown.is_followed_by(&server("s1", 6)));
}

/// Guards against a departure that also excludes other servers, or a restarted one under the same name.
#[test]
fn a_departure_concerns_one_instance() {
    let departures = with_departure(&server("s1", 5));
    assert!(!departures.is_staying(&server("s1", 5)));
    assert!(departures.is_staying(&server("s1", 6)));
    assert!(departures.is_staying(&server("s2", 5)));
}

/// Guards against requests to a draining server that has not announced its departure.
#[test]
fn a_draining_server_does_not_stay() {
    let mut draining = server("s1", 5);
    draining.state = State::Draining;
    assert!(!Departures::default().is_staying(&draining));
}

/// Guards against repeated log lines, and a late answer of an earlier instance that hides a departure.
#[test]
fn repeated_and_outdated_announcements_change_nothing() {
    let mut departures = with_departure(&server("s1", 5));
    assert!(!departures.record(Instance::from(&server("s1", 5))));
    departures.record(Instance::from(&server("s1", 4)));
    assert!(!departures.record(Instance::from(&server("s1", 4))));
    assert!(!departures.is_staying(&server("s1", 5)));
    assert!(departures.is_staying(&server("s1", 6)));
    departures.retain(list(&[("s1", 5)]), Duration::ZERO);
    assert_eq!(departures.len(), 1, "the earlier instance is gone");
    assert!(!departures.is_staying(&server("s1", 5)));
}

/// Guards against an instance that is used again after its entry expired in an outage and came back.
#[test]
fn a_departure_outlives_the_entry_of_its_instance() {
    let mut departures = with_departure(&server("s1", 5));
    departures.retain(list(&[("s1", 5)]), Duration::ZERO);
    departures.retain(list(&[]), FORGOTTEN);
    departures.retain(list(&[("s1", 5)]), FORGOTTEN + Duration::from_secs(30));
    departures.retain(list(&[]), FORGOTTEN * 2);
    assert!(!departures.is_staying(&server("s1", 5)));
}

/// Guards against a memory that grows with each server that has ever left.
#[test]
fn instances_that_are_gone_are_forgotten() {
    let mut departures = with_departure(&server("s1", 5));
    departures.retain(list(&[("s1", 6)]), Duration::ZERO);
    assert!(departures.is_empty(), "a later instance is listed");
    for number in 0..1_000_u32 {
        let now = FORGOTTEN * number;
        departures.record(Instance::from(&server(&format!("s{number}"), 5)));
        departures.retain(list(&[]), now);
        assert!(departures.len() <= 2);
    }
}

/// Guards against an older listing, as of a host that lags behind, that ends a departure.
#[test]
fn an_older_listing_does_not_end_a_departure() {
    let mut departures = with_departure(&server("s1", 5));
    departures.retain(list(&[("s1", 4)]), Duration::ZERO);
    assert!(!departures.is_staying(&server("s1", 5)));
}

/// Guards against requests that wait for layers which only engines that leave hold, and refusals while others hold them.
#[test]
fn a_gap_is_seen_only_if_the_engines_that_stay_lack_layers() {
    let servers = [holder("e1", 0, 4), holder("e2", 4, 8), holder("e3", 3, 8)];
    let gap = |leaving: &[usize]| {
        let mut departures = Departures::default();
        for index in leaving {
            departures.record(Instance::from(&*servers[*index]));
        }
        departures.has_gap(&servers, 8)
    };
    assert!(!gap(&[]));
    assert!(!gap(&[1]));
    assert!(!gap(&[2]));
    assert!(gap(&[0]));
    assert!(gap(&[1, 2]));
    assert!(gap(&[0, 1, 2]));
    let empty = [Arc::new(server("e1", 1))];
    assert!(
        !Departures::default().has_gap(&empty, 8),
        "no engine leaves, and layers may be loaded soon"
    );
}

/// Guards against a log that is flooded by unusable announcements.
#[test]
fn unusable_announcements_are_reported_once_a_second() {
    let mut departures = Departures::default();
    let times = (0..10_000).map(Duration::from_millis);
    let reported = times.filter(|now| departures.reports_invalid(*now));
    assert_eq!(reported.count(), 10);
}

/// Guards against an instance that is used although it leaves, because the clock of its machine was set back before it
/// started.
#[test]
fn an_instance_may_have_an_earlier_start_than_the_one_before_it() {
    let mut departures = with_departure(&server("s1", 5));
    departures.retain(list(&[("s1", 3)]), Duration::ZERO);
    assert!(departures.is_staying(&server("s1", 3)));
    assert!(departures.record(Instance::from(&server("s1", 3))));
    assert!(!departures.is_staying(&server("s1", 3)));
    departures.retain(list(&[("s1", 3)]), FORGOTTEN);
    assert!(!departures.is_staying(&server("s1", 3)));
}
