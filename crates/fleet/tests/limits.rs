//! Retry budget, freshness, suspicion and routes.

use core::time::Duration;

use agatemill_fleet::Budget;
use agatemill_fleet::Configuration;
use agatemill_fleet::Evidence;
use agatemill_fleet::Freshness;
use agatemill_fleet::Headcount;
use agatemill_fleet::Route;
use agatemill_fleet::Suspicion;
use agatemill_fleet::budget::Allowance;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::route::Kind;
use agatemill_fleet::route::Share;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    base: 200.0,
    window: Duration::from_secs(10),
};

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn hosts(count: usize) -> Headcount {
    let mut hosts = Headcount::default();
    hosts.record(count, Duration::ZERO);
    hosts
}

fn take_all(budget: &mut Budget, hosts: &Headcount, now: Duration) -> u32 {
    let mut count = 0;
    while budget.take(Purpose::Retry, hosts, now) {
        count += 1;
    }
    count
}

/// Guards against retries of all hosts together that exceed the allowance of the service in any window.
#[test]
fn hosts_share_the_free_retries() {
    let mut budget = Budget::new(ALLOWANCE, seconds(0.0));
    for _ in 0..50 {
        budget.record_request(seconds(11.0));
    }
    // Half of the 200 / 8 free and 10 earned retries: processes that were killed lose their counts.
    assert_eq!(take_all(&mut budget, &hosts(8), seconds(11.0)), 17);
}

/// Guards against a budget that is refilled before its window has passed.
#[test]
fn retries_are_available_again_only_after_the_window() {
    let mut budget = Budget::new(ALLOWANCE, seconds(0.0));
    assert_eq!(take_all(&mut budget, &hosts(8), seconds(20.0)), 12);
    assert_eq!(take_all(&mut budget, &hosts(8), seconds(29.5)), 0);
    assert_eq!(take_all(&mut budget, &hosts(8), seconds(30.5)), 12);
}

/// Guards against a host that keeps its larger share after others have joined.
#[test]
fn a_host_that_joins_lowers_the_share() {
    let mut budget = Budget::new(ALLOWANCE, seconds(0.0));
    assert_eq!(take_all(&mut budget, &hosts(1), seconds(20.0)), 100);
    assert!(!budget.take(Purpose::Retry, &hosts(2), seconds(21.0)));
}

/// Guards against an exceeded budget after a restart of all hosts (trouble-1, kls-claims-grown, seed 888036263747):
/// all 80 hosts were killed, lost their counts, saw few others at first, and each used the free retries of all.
#[test]
fn hosts_that_start_together_use_few_free_retries() {
    let mut first = Budget::without_predecessor(ALLOWANCE, seconds(0.0));
    assert_eq!(take_all(&mut first, &hosts(1), seconds(0.5)), 3);
    let mut budget = Budget::new(ALLOWANCE, seconds(0.0));
    assert_eq!(take_all(&mut budget, &hosts(1), seconds(0.5)), 0);
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    assert_eq!(
        take_all(&mut budget, &hosts(1), seconds(1.0)),
        10,
        "earned retries are added"
    );
}

/// Guards against a restarted process that sends the retries of the window again that its predecessor has sent.
#[test]
fn free_retries_grow_with_the_age_of_a_restarted_process() {
    let mut budget = Budget::new(ALLOWANCE, seconds(100.0));
    assert_eq!(take_all(&mut budget, &hosts(40), seconds(100.0)), 0);
    assert_eq!(take_all(&mut budget, &hosts(40), seconds(105.0)), 1);
    assert_eq!(take_all(&mut budget, &hosts(40), seconds(109.9)), 1);
}

/// Guards against hosts that take over the share of others whose leases have expired but which still serve, and
/// against a share that is never given up.
#[test]
fn the_share_of_a_vanished_host_stays_reserved() {
    let mut budget = Budget::new(ALLOWANCE, seconds(0.0));
    let mut hosts = hosts(80);
    assert_eq!(take_all(&mut budget, &hosts, seconds(20.0)), 1);
    hosts.record(1, seconds(25.0));
    assert_eq!(take_all(&mut budget, &hosts, seconds(25.0)), 0);
    hosts.record(1, seconds(45.0));
    assert_eq!(take_all(&mut budget, &hosts, seconds(45.0)), 1);
    hosts.record(1, seconds(140.0));
    assert_eq!(take_all(&mut budget, &hosts, seconds(140.0)), 1);
    hosts.record(1, seconds(300.0));
    assert_eq!(take_all(&mut budget, &hosts, seconds(300.0)), 100);
}

/// Guards against keys that are accepted after the view has become too old, also after a suspension.
#[test]
fn a_view_ages_from_the_start_of_the_call_that_confirmed_it() {
    let mut freshness = Freshness::default();
    let limit = seconds(4.5);
    assert!(!freshness.is_within(limit, seconds(0.0)));
    freshness.confirm(seconds(10.0));
    assert!(freshness.is_within(limit, seconds(14.5)));
    assert!(!freshness.is_within(limit, seconds(14.6)));
    freshness.confirm(seconds(8.0));
    assert!(
        freshness.is_within(limit, seconds(14.0)),
        "an older call must not age the view"
    );
}

/// Guards against servers that are avoided forever after one fault.
#[test]
fn a_suspicion_expires() {
    let server = "10.0.0.1:8080".parse().unwrap();
    let mut suspicion = Suspicion::default();
    assert!(suspicion.suspect(server, Evidence::Silent, seconds(1.0)));
    assert!(!suspicion.suspect(server, Evidence::Silent, seconds(2.0)));
    assert!(suspicion.is_suspected(&server, seconds(5.9)));
    assert!(!suspicion.is_suspected(&server, seconds(6.0)));
    assert!(suspicion.suspect(server, Evidence::Silent, seconds(7.0)));
}

/// Guards against an engine that is briefly full and counts as lost (the second fault of inc-da6c): its streams
/// were moved to other engines, which read them again.
#[test]
fn a_server_that_rejects_is_avoided_but_not_lost() {
    let server = "10.0.0.1:8080".parse().unwrap();
    let mut suspicion = Suspicion::default();
    assert!(
        suspicion
            .avoid(server, seconds(1.0), seconds(0.3))
            .is_some()
    );
    assert!(suspicion.is_avoided(&server, seconds(1.2)));
    assert!(!suspicion.is_suspected(&server, seconds(1.2)));
    assert!(!suspicion.is_avoided(&server, seconds(1.3)));
}

/// Guards against many hosts that each retry a lost engine after every short pause: one engine rejected about 320
/// requests of a day this way, and each took a retry from the budget.
#[test]
fn a_server_that_keeps_rejecting_is_avoided_longer() {
    let server = "10.0.0.1:8080".parse().unwrap();
    let mut suspicion = Suspicion::default();
    let mut now = seconds(1.0);
    let mut times = Vec::new();
    for _ in 0..4 {
        let time = suspicion.avoid(server, now, seconds(0.25)).unwrap();
        assert_eq!(suspicion.avoid(server, now, seconds(0.25)), None);
        times.push(time.as_secs_f64());
        now += time;
    }
    assert_eq!(times, [0.25, 0.5, 1.0, 1.0]);
    // After it has served for a while, the time starts again at its initial value.
    now += seconds(2.0);
    assert_eq!(
        suspicion.avoid(server, now, seconds(0.25)),
        Some(seconds(0.25))
    );
}

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "office.example".into(),
        prefix: prefix.into(),
        kind: Kind::NonIdempotent,
        timeout: seconds(1.0),
        target_latency: seconds(0.1),
        rank: 1,
        split: vec![
            Share {
                service: "old".parse().unwrap(),
                weight: 90,
            },
            Share {
                service: "new".parse().unwrap(),
                weight: 10,
            },
        ],
        max_attempts: 1,
        is_public: false,
        gap_target: None,
    }
}

/// Guards against a route with a shorter prefix that takes precedence over one with a longer prefix.
#[test]
fn the_longest_prefix_wins() {
    let routes = vec![route("short", "/filings/"), route("long", "/filings/fees/")];
    let configuration = Configuration::new(1, routes);
    let name = |path| {
        let route = configuration.route("office.example", path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("/filings/fees/7").as_deref(), Some("long"));
    assert_eq!(name("/filings/7").as_deref(), Some("short"));
    assert_eq!(name("/filing"), None);
    assert!(configuration.route("other.example", "/filings/7").is_none());
}

/// Guards against a split that sends a service more requests than its weight.
#[test]
fn a_split_follows_its_weights() {
    let route = route("r", "/");
    assert_eq!(route.pick(0.0).as_str(), "old");
    assert_eq!(route.pick(0.89).as_str(), "old");
    assert_eq!(route.pick(0.91).as_str(), "new");
    assert_eq!(route.pick(0.9999).as_str(), "new");
}

/// Guards against the streams of silent servers that use up the retries which requests of lost servers need.
#[test]
fn backups_leave_a_part_of_the_retries() {
    let mut budget = Budget::without_predecessor(ALLOWANCE, seconds(0.0));
    let now = seconds(100.0);
    let mut backups = 0;
    while budget.take(Purpose::Backup, &hosts(2), now) {
        backups += 1;
    }
    assert!(backups > 0);
    assert!(take_all(&mut budget, &hosts(2), now) >= backups / 4);
}

/// Guards against retries of less urgent requests that use up those which urgent ones need.
#[test]
fn less_urgent_requests_leave_a_part_of_the_retries() {
    let mut budget = Budget::without_predecessor(ALLOWANCE, seconds(0.0));
    let now = seconds(100.0);
    let mut retries = 0;
    while budget.take(Purpose::LessUrgent, &hosts(2), now) {
        retries += 1;
    }
    assert!(retries > 0);
    assert!(take_all(&mut budget, &hosts(2), now) >= retries / 4);
}
