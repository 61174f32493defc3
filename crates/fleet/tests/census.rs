//! Aggregation of load among hosts.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use agatemill_core::id;
use agatemill_fleet::Capacity;
use agatemill_fleet::Census;
use agatemill_fleet::Load;
use agatemill_fleet::Member;
use agatemill_fleet::Tally;
use agatemill_fleet::load::Usage;
use agatemill_fleet::tally::Key;

const ROUND: Duration = Duration::from_millis(250);

struct Host {
    address: SocketAddrV4,
    census: Census,
    load: Load,
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
    let mut sent = 0;
    for round in from..from + rounds {
        let now = ROUND * round;
        let messages: Vec<_> = hosts
            .iter_mut()
            .flat_map(|host| host.census.round(Tally::from(&host.load), members, now))
            .collect();
        sent = messages.len();
        for (address, message) in messages {
            if let Some(host) = hosts.iter_mut().find(|host| host.address == address) {
                host.census.receive(message, now);
            }
        }
    }
    sent
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
