//! Aggregation of load among hosts.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use agatemill_core::Urgency;
use agatemill_core::id;
use agatemill_fleet::Capacity;
use agatemill_fleet::Census;
use agatemill_fleet::Demand;
use agatemill_fleet::Load;
use agatemill_fleet::Member;
use agatemill_fleet::Tally;
use agatemill_fleet::census;
use agatemill_fleet::demand::Row;
use agatemill_fleet::demand::Subject;
use agatemill_fleet::load::Usage;
use agatemill_fleet::tally::Key;

const ROUND: Duration = Duration::from_millis(250);

struct Host {
    address: SocketAddrV4,
    census: Census,
    load: Load,
    demand: Demand,
}

/// Creates hosts `0..count`, assigned to three zones in turn.
fn hosts(count: u16) -> (Vec<Host>, HashMap<id::Host, Member>) {
    let mut hosts = Vec::new();
    let mut members = HashMap::new();
    for number in 0..count {
        let host: id::Host = format!("h{number:03}").parse().unwrap();
        let zone: id::Zone = ["a", "b", "c"][usize::from(number % 3)].parse().unwrap();
        let exchange = SocketAddrV4::new([10, 0, 0, 1].into(), 1_000 + number);
        members.insert(
            host.clone(),
            Member {
                host: host.clone(),
                zone: zone.clone(),
                address: exchange,
                exchange,
                capacity: Capacity::default(),
            },
        );
        hosts.push(Host {
            address: exchange,
            census: Census::new(host, zone),
            load: Load::default(),
            demand: Demand::default(),
        });
    }
    (hosts, members)
}

/// Runs rounds; returns the number of messages of the last one.
fn run_rounds(
    hosts: &mut [Host],
    members: &HashMap<id::Host, Member>,
    from: u32,
    rounds: u32,
) -> usize {
    run_rounds_with(hosts, |_| members, from, rounds)
}

/// Runs rounds in which `members` gives the hosts that the host at an address knows; returns the number of messages of the
/// last one.
fn run_rounds_with<'a>(
    hosts: &mut [Host],
    members: impl Fn(SocketAddrV4) -> &'a HashMap<id::Host, Member>,
    from: u32,
    rounds: u32,
) -> usize {
    run_linked_rounds(hosts, members, |_, _| true, from, rounds)
}

/// Like [`run_rounds_with`], with only the messages between addresses for which `is_linked` returns true.
fn run_linked_rounds<'a>(
    hosts: &mut [Host],
    members: impl Fn(SocketAddrV4) -> &'a HashMap<id::Host, Member>,
    is_linked: impl Fn(SocketAddrV4, SocketAddrV4) -> bool,
    from: u32,
    rounds: u32,
) -> usize {
    let mut sent = 0;
    for round in from..from + rounds {
        let now = ROUND * round;
        let messages = hosts.iter_mut().flat_map(|host| {
            let (sender, members) = (host.address, members(host.address));
            let mut own = Tally::from(&host.load);
            own.demand = host.demand.clone();
            let messages = host.census.round(own, members, now);
            let messages = messages.into_iter();
            messages.map(move |(address, message)| (sender, address, message))
        });
        let messages: Vec<_> = messages.collect();
        sent = messages.len();
        for (sender, address, message) in messages {
            if !is_linked(sender, address) {
                continue;
            }
            if let Some(host) = hosts.iter_mut().find(|host| host.address == address) {
                host.census.receive(message, sender, now);
            }
        }
    }
    sent
}

/// The load of all hosts on a server as each host estimates it.
fn estimates(hosts: &[Host], server: &id::Server, now: Duration) -> Vec<u32> {
    let estimate = |host: &Host| {
        let own = host.load.of(server);
        let all = host
            .census
            .estimate(Key::from(server), own, hosts.len(), now);
        all.requests
    };
    hosts.iter().map(estimate).collect()
}

/// Whether a host is among the first 12 of 30, which have the collectors of all zones.
fn has_lost_store(address: SocketAddrV4) -> bool {
    address.port() < 1_012
}

/// Plays the loss of the store at some of 30 hosts, which keep their view while the leases by which the others know them end, from
/// the fourth round until the twelfth. Each host has two requests at an engine; returns what the hosts estimate after each
/// round up to the twentieth, where the sum is 60.
fn estimates_around_a_split() -> Vec<Vec<u32>> {
    let (mut hosts, members) = hosts(30);
    let server: id::Server = "engine-1".parse().unwrap();
    for host in &mut hosts {
        host.load.add(&server, usage(2));
    }
    let mut others = members.clone();
    others.retain(|_, member| !has_lost_store(member.exchange));
    let round = |round: u32| {
        let is_split = (4..12).contains(&round);
        let known = |address| {
            if is_split && !has_lost_store(address) {
                &others
            } else {
                &members
            }
        };
        run_rounds_with(&mut hosts, known, round, 1);
        estimates(&hosts, &server, ROUND * (round + 1))
    };
    (0..20).map(round).collect()
}

/// Guards against engines that get twice the requests that they take while some hosts have lost the store: these keep their
/// former view, the others no longer know them, and either side counted only its own load.
#[test]
fn hosts_that_lost_the_store_and_the_others_count_each_other() {
    let estimates = estimates_around_a_split();
    assert_eq!(estimates[11], [60; 30], "some hosts are without the store");
    assert_eq!(estimates[19], [60; 30], "they have the store again");
}

/// Guards against sound engines that count as full, and are passed by, while hosts change their collector.
#[test]
fn hosts_that_change_their_collector_do_not_count_twice() {
    for (round, estimates) in estimates_around_a_split().into_iter().enumerate().skip(4) {
        for requests in estimates {
            assert!(requests <= 60, "{requests} in round {round}");
        }
    }
}

/// Guards against the load of a zone that counts twice after another host has become its collector.
#[test]
fn the_load_of_a_former_collector_does_not_count_beside_that_of_the_next() {
    let (mut hosts, members) = hosts(9);
    let server: id::Server = "engine-1".parse().unwrap();
    for host in &mut hosts {
        host.load.add(&server, usage(2));
    }
    let first: id::Host = "h000".parse().unwrap();
    let mut others = members.clone();
    others.remove(&first);
    run_rounds(&mut hosts, &others, 0, 4);
    run_rounds(&mut hosts, &members, 4, 2);
    for requests in estimates(&hosts, &server, ROUND * 6) {
        assert!(requests <= 18, "{requests}");
    }
}

fn usage(requests: u32) -> Usage {
    Usage {
        requests,
        tokens: f64::from(requests) * 900.0,
        unread: f64::from(requests) * 500.0,
    }
}

/// Guards against an engine that looks idle to a host although the requests of other hosts fill it.
#[test]
fn every_host_receives_the_total_load() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    for (host, requests) in hosts.iter_mut().zip(1..) {
        host.load.add(&server, usage(requests));
    }
    run_rounds(&mut hosts, &members, 0, 4);
    for host in &hosts {
        let own = host.load.of(&server);
        let all = host.census.estimate(Key::from(&server), own, 8, ROUND * 4);
        assert_eq!(all.requests, 36);
        assert!((all.tokens - 36.0 * 900.0).abs() < 1.0, "{all:?}");
        assert!((all.unread - 36.0 * 500.0).abs() < 1.0, "{all:?}");
    }
}

/// Guards against a host that counts its own new requests only after the next round.
#[test]
fn own_load_counts_at_once() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    run_rounds(&mut hosts, &members, 0, 4);
    hosts[4].load.add(&server, usage(3));
    let own = hosts[4].load.of(&server);
    assert_eq!(
        hosts[4]
            .census
            .estimate(Key::from(&server), own, 8, ROUND * 4)
            .requests,
        3
    );
}

/// Guards against a dead host's load that never expires, so that its engines look full forever.
#[test]
fn load_of_a_dead_host_expires() {
    let (mut hosts, mut members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    hosts[7].load.add(&server, usage(50));
    run_rounds(&mut hosts, &members, 0, 4);
    let dead = hosts.pop().unwrap();
    members.retain(|_, member| member.exchange != dead.address);
    run_rounds(&mut hosts, &members, 4, 8);
    for host in &hosts {
        let estimate = host
            .census
            .estimate(Key::from(&server), Usage::default(), 7, ROUND * 12);
        assert_eq!(estimate.requests, 0);
    }
}

/// Guards against an estimate that keeps its last value after the collector is lost. It falls back to this host's
/// load times the number of hosts.
#[test]
fn without_a_recent_total_other_hosts_count_like_this_one() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    run_rounds(&mut hosts, &members, 0, 4);
    let late = ROUND * 4 + Duration::from_secs(2);
    let estimate = hosts[5]
        .census
        .estimate(Key::from(&server), usage(2), 8, late);
    assert_eq!(estimate.requests, 16);
}

/// Guards against a number of messages that grows with the square of the number of hosts.
#[test]
fn messages_grow_linearly_with_hosts() {
    for count in [8, 80, 300] {
        let (mut hosts, members) = hosts(count);
        let sent = run_rounds(&mut hosts, &members, 0, 3);
        assert!(
            sent <= 2 * usize::from(count) + 6,
            "{count} hosts sent {sent} messages"
        );
    }
}

/// Guards against a number of messages that grows with the square of the number of hosts while a fleet starts, when each host
/// that knows no other one is a collector.
#[test]
fn a_collector_sends_its_sum_to_a_bounded_number_of_others() {
    const MAX_MESSAGES: usize = 80;
    let (mut hosts, members) = hosts(300);
    let known: HashMap<SocketAddrV4, HashMap<id::Host, Member>> = members
        .values()
        .map(|own| {
            // Itself and one host of another zone.
            let other = |member: &&Member| member.zone != own.zone;
            let other = members.values().find(other).unwrap();
            let pair = [own, other].map(|member| (member.host.clone(), member.clone()));
            (own.exchange, pair.into())
        })
        .collect();
    run_rounds_with(&mut hosts, |address| &known[&address], 0, 6);
    for host in &mut hosts {
        let own = Tally::from(&host.load);
        let sent = host.census.round(own, &known[&host.address], ROUND * 6);
        assert!(sent.len() <= MAX_MESSAGES, "{}", sent.len());
    }
}

/// Guards against a collector whose totals fill its link while news comes in without a pause, as when a zone is lost.
#[test]
fn rounds_after_news_stay_within_the_link_of_a_small_collector() {
    const HOSTS: u32 = 70;
    const TOTAL_BYTES: f64 = 2_500.0;
    const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;
    let delay = census::news_delay(usize::try_from(HOSTS).unwrap());
    let sent_per_s = f64::from(HOSTS) * TOTAL_BYTES / delay.as_secs_f64();
    assert!(sent_per_s < LINK_BYTES_PER_S, "{sent_per_s}");
    assert!(
        census::news_delay(1) < Duration::from_millis(25),
        "other hosts tell their news at once"
    );
}

fn subject(urgency: u8) -> Subject {
    Subject::new(&"model".parse().unwrap(), Urgency::new(None, urgency))
}

/// Hosts that each offer 100 tokens a second of one urgency.
fn hosts_with_demand(count: u16) -> (Vec<Host>, HashMap<id::Host, Member>) {
    let (mut hosts, members) = hosts(count);
    for host in &mut hosts {
        let row = Row {
            offered: 100,
            ..Row::default()
        };
        host.demand.set(subject(1), row);
    }
    (hosts, members)
}

/// The offered rate that each host knows; `None` without a recent total.
fn offered(hosts: &[Host], now: Duration) -> Vec<Option<u32>> {
    let known = |host: &Host| Some(host.census.demand(now)?.0.of(subject(1)).offered);
    hosts.iter().map(known).collect()
}

/// Guards against demand that is lost or counted twice between host, collector and the other collectors, and against a host
/// whose messages state none that changes the sum.
#[test]
fn every_host_receives_the_total_demand() {
    for count in [8_u16, 80, 300] {
        let (mut hosts, members) = hosts_with_demand(count);
        hosts[5].demand = Demand::default();
        run_rounds(&mut hosts, &members, 0, 4);
        let sum = 100 * (u32::from(count) - 1);
        assert_eq!(
            offered(&hosts, ROUND * 4),
            vec![Some(sum); usize::from(count)]
        );
    }
}

/// Guards against admission by the demand of a total that is missing or too old, and against an age that leaves out the time
/// until a request is in the total.
#[test]
fn demand_is_known_only_from_a_recent_total() {
    let (mut hosts, members) = hosts_with_demand(8);
    assert_eq!(offered(&hosts, ROUND), [None; 8], "before the first round");
    run_rounds(&mut hosts, &members, 0, 4);
    let received = ROUND * 3;
    let (_, age) = hosts[4].census.demand(received).unwrap();
    assert!((ROUND / 2..=ROUND * 2).contains(&age), "{age:?}");
    let limit = Duration::from_millis(1_200);
    assert!(hosts[4].census.demand(received + limit).is_some());
    let late = received + limit + Duration::from_millis(1);
    assert_eq!(offered(&hosts, late), [None; 8]);
}

/// Guards against a host that starts, and takes the demand that it sees itself for that of all hosts.
#[test]
fn a_host_that_starts_knows_no_demand_until_a_total_arrives() {
    let (mut hosts, members) = hosts_with_demand(8);
    let started = hosts.split_off(7);
    run_rounds(&mut hosts, &members, 0, 4);
    hosts.extend(started);
    assert_eq!(offered(&hosts[7..], ROUND * 4), [None]);
    run_rounds(&mut hosts, &members, 4, 2);
    assert_eq!(offered(&hosts[7..], ROUND * 6), [Some(800)]);
}

/// Guards against demand that stays known, or counts twice, after the collector of a zone was killed.
#[test]
fn demand_expires_with_a_killed_collector_and_returns_with_the_next() {
    let (mut hosts, mut members) = hosts_with_demand(9);
    run_rounds(&mut hosts, &members, 0, 4);
    let leader: id::Host = "h000".parse().unwrap();
    let collector = members[&leader].exchange;
    hosts.retain(|host| host.address != collector);
    run_rounds(&mut hosts, &members, 4, 6);
    // Of the hosts left, the third and sixth are of the zone without a collector.
    let known = offered(&hosts, ROUND * 10);
    assert_eq!(known[2..=2], [None]);
    assert_eq!(known[5..=5], [None]);
    let in_zones_left = [0, 1, 3, 4, 6, 7].map(|index| known[index]);
    assert_eq!(in_zones_left, [Some(600); 6], "the zones that are left");
    members.remove(&leader);
    for round in 10..20 {
        run_rounds(&mut hosts, &members, round, 1);
        for known in offered(&hosts, ROUND * (round + 1)).into_iter().flatten() {
            assert!(known <= 800, "{known} in round {round}");
        }
    }
    assert_eq!(offered(&hosts, ROUND * 20), [Some(800); 8]);
}

/// Guards against hosts on either side of a network partition that have no total, or keep the demand of the other side, and
/// against demand that counts twice when the sides meet again.
#[test]
fn each_side_of_a_partition_knows_its_own_demand() {
    let (mut hosts, members) = hosts_with_demand(9);
    let is_cut = |address: SocketAddrV4| address.port().is_multiple_of(3);
    let is_linked = |from, to| is_cut(from) == is_cut(to);
    run_rounds(&mut hosts, &members, 0, 4);
    run_linked_rounds(&mut hosts, |_| &members, is_linked, 4, 8);
    for (host, known) in hosts.iter().zip(offered(&hosts, ROUND * 12)) {
        let expected = if is_cut(host.address) { 300 } else { 600 };
        assert_eq!(known, Some(expected), "{}", host.address);
    }
    for round in 12..20 {
        run_rounds(&mut hosts, &members, round, 1);
        for known in offered(&hosts, ROUND * (round + 1)) {
            assert!(known.is_some_and(|known| known <= 900), "{known:?}");
        }
    }
    assert_eq!(offered(&hosts, ROUND * 20), [Some(900); 9]);
}

/// Guards against loads of unknown hosts that displace those of the fleet when as much is held as may be.
#[test]
fn a_flood_of_unknown_hosts_does_not_displace_the_load_of_the_fleet() {
    let (mut hosts, members) = hosts(9);
    let server: id::Server = "engine-1".parse().unwrap();
    for host in &mut hosts {
        host.load.add(&server, usage(2));
    }
    run_rounds(&mut hosts, &members, 0, 2);
    let mut flood = Load::default();
    for number in 0..7_000 {
        let server: id::Server = format!("unknown-{number}").parse().unwrap();
        flood.add(&server, usage(1));
    }
    let flood = Tally::from(&flood);
    for host in &mut hosts {
        host.load.add(&server, usage(1));
    }
    for round in 2..6 {
        for number in 0..100 {
            let message = census::Message::Host {
                host: format!("unknown-{round}-{number}").parse().unwrap(),
                tally: flood.clone(),
            };
            let sender = SocketAddrV4::new([10, 0, 0, 9].into(), number);
            hosts[0].census.receive(message, sender, ROUND * round);
        }
        run_rounds(&mut hosts, &members, round, 1);
    }
    assert_eq!(estimates(&hosts, &server, ROUND * 6), [27; 9]);
}
