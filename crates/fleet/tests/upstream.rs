//! Selection of the source of changes of the store.

use core::time::Duration;
use std::collections::HashMap;

use agatemill_core::id;
use agatemill_fleet::Capacity;
use agatemill_fleet::Member;
use agatemill_fleet::Upstream;
use agatemill_fleet::upstream::Source;

const START: Duration = Duration::from_secs(100);

/// Hosts `a0`, `a1` and so on in zone `a`, `b0` and so on in zone `b`.
fn members(zones: &[(&str, usize)]) -> HashMap<id::Host, Member> {
    let mut members = HashMap::new();
    for (zone, hosts) in zones {
        for number in 0..*hosts {
            let name = format!("{zone}{number}");
            let port = 1_000 + u16::try_from(members.len()).unwrap();
            let address = core::net::SocketAddrV4::new([10, 0, 0, 1].into(), port);
            let member = Member {
                host: name.parse().unwrap(),
                zone: zone.parse().unwrap(),
                address,
                exchange: address,
                capacity: Capacity::default(),
            };
            members.insert(member.host.clone(), member);
        }
    }
    members
}

fn choose(upstream: &Upstream, host: &str, members: &HashMap<id::Host, Member>) -> String {
    choose_at(upstream, host, members, START)
}

fn choose_at(
    upstream: &Upstream,
    host: &str,
    members: &HashMap<id::Host, Member>,
    now: Duration,
) -> String {
    let zone = host[..1].parse().unwrap();
    let choice = upstream.choose(&host.parse().unwrap(), &zone, members, now);
    match choice.source {
        Source::Store => "store".to_owned(),
        Source::Host { host, .. } => host.to_string(),
    }
}

fn host(name: &str, members: &HashMap<id::Host, Member>) -> Source {
    Source::from(&members[&name.parse::<id::Host>().unwrap()])
}

/// Guards against a number of calls to the store that grows with the number of hosts.
#[test]
fn one_host_of_each_zone_watches_the_store() {
    for hosts in [1, 27, 333] {
        let members = members(&[("a", hosts), ("b", hosts), ("c", hosts)]);
        let upstream = Upstream::default();
        let watching = members
            .keys()
            .filter(|host| choose(&upstream, host.as_str(), &members) == "store");
        assert_eq!(watching.count(), 3, "with {hosts} hosts in each zone");
    }
}

/// Guards against hosts that receive no changes because the host that they follow is lost.
#[test]
fn a_lost_host_is_replaced_by_the_store() {
    let members = members(&[("a", 3), ("b", 2)]);
    let mut upstream = Upstream::default();
    assert_eq!(choose(&upstream, "a2", &members), "a0");
    upstream.record_failure(&host("a0", &members), START);
    assert_eq!(choose(&upstream, "a2", &members), "store");
    let later = START + Duration::from_secs(4);
    assert_eq!(choose_at(&upstream, "a2", &members, later), "a0");
}

/// Guards against a host that refuses callers because the store rejects it, although the store serves other hosts.
#[test]
fn a_host_that_the_store_rejects_follows_another() {
    let members = members(&[("a", 2), ("b", 2)]);
    let mut upstream = Upstream::default();
    assert_eq!(choose(&upstream, "a0", &members), "store");
    upstream.record_failure(&Source::Store, START);
    assert_eq!(choose(&upstream, "a0", &members), "b0");
    let later = START + Duration::from_secs(4);
    assert_eq!(choose_at(&upstream, "a0", &members, later), "store");
}

/// Sources that a host calls, one every 100 ms, when the store does not respond and no other host has it.
fn called_sources(host: &str, members: &HashMap<id::Host, Member>, times: usize) -> Vec<String> {
    let zone = host[..1].parse().unwrap();
    let mut upstream = Upstream::default();
    let mut now = START;
    let mut called = Vec::new();
    for _ in 0..times {
        let choice = upstream.choose(&host.parse().unwrap(), &zone, members, now);
        called.push(choose_at(&upstream, host, members, now));
        match &choice.source {
            Source::Store => upstream.record_failure(&choice.source, now),
            Source::Host { host, .. } => upstream.record_refusal(host, now),
        }
        now += Duration::from_millis(100);
    }
    called
}

/// Guards against every host calling a store that is down, and against detecting its recovery late.
#[test]
fn few_hosts_call_a_store_that_is_down() {
    let members = members(&[("a", 2), ("b", 2)]);
    let calls = |host| {
        let called = called_sources(host, &members, 50);
        called.iter().filter(|source| *source == "store").count()
    };
    assert!(
        calls("a0") >= 40,
        "the leader of the zone keeps calling the store"
    );
    assert!(
        calls("a1") <= 2,
        "a follower called the store too often in 5 s"
    );
    assert_eq!(
        called_sources("a1", &members, 6),
        ["a0", "store", "b0", "a0", "b0", "a0"]
    );
}

/// Guards against a zone in which no host calls the store while the leader that is listed does not respond.
#[test]
fn the_next_host_takes_the_place_of_a_leader_that_does_not_respond() {
    let members = members(&[("a", 3), ("b", 2)]);
    let mut next = Upstream::default();
    let mut last = Upstream::default();
    let leader = host("a0", &members);
    for upstream in [&mut next, &mut last] {
        upstream.record_failure(&Source::Store, START);
        upstream.record_refusal(&"b0".parse().unwrap(), START);
        upstream.record_failure(&leader, START + Duration::from_millis(1));
    }
    assert_eq!(choose(&last, "a2", &members), "a1");
    assert_eq!(choose(&next, "a1", &members), "store");
    next.record_failure(&Source::Store, START + Duration::from_millis(2));
    assert_eq!(choose(&next, "a1", &members), "a0", "it may be back");
    let (own, zone) = ("a1".parse().unwrap(), "a".parse().unwrap());
    assert!(next.is_leader(&own, &zone, &members, START));
    let later = START + Duration::from_secs(4);
    assert!(!next.is_leader(&own, &zone, &members, later));
}

/// Guards against a pause before a call to a source that has not failed.
#[test]
fn only_sources_that_have_failed_are_a_last_resort() {
    let members = members(&[("a", 2), ("b", 1)]);
    let own: id::Host = "a1".parse().unwrap();
    let mut upstream = Upstream::default();
    for _ in 0..3 {
        let choice = upstream.choose(&own, &"a".parse().unwrap(), &members, START);
        assert!(!choice.is_last_resort, "{choice:?}");
        upstream.record_failure(&choice.source, START);
    }
    let choice = upstream.choose(&own, &"a".parse().unwrap(), &members, START);
    assert!(choice.is_last_resort);
    upstream.record_answer(&Source::Store);
    let choice = upstream.choose(&own, &"a".parse().unwrap(), &members, START);
    assert_eq!(
        (choice.source, choice.is_last_resort),
        (Source::Store, false)
    );
}
