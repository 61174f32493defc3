//! Work that hosts tell each other.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use agatemill_core::id;
use agatemill_fleet::Census;
use agatemill_fleet::Load;
use agatemill_fleet::Member;
use agatemill_fleet::Tally;
use agatemill_fleet::load::Work;
use agatemill_fleet::tally::Key;

const ROUND: Duration = Duration::from_millis(250);

struct Host {
    address: SocketAddrV4,
    census: Census,
    load: Load,
}

/// Hosts `0..count`, dealt to three zones in turn.
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

/// Plays rounds; returns the number of messages of the last.
fn play(hosts: &mut [Host], members: &HashMap<id::Host, Member>, from: u32, rounds: u32) -> usize {
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

fn work(requests: u32) -> Work {
    Work {
        requests,
        tokens: f64::from(requests) * 900.0,
        unread: f64::from(requests) * 500.0,
    }
}

/// Guards against an engine that looks idle to a host because others fill it.
#[test]
fn every_host_learns_the_work_of_all() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    for (host, requests) in hosts.iter_mut().zip(1..) {
        host.load.add(&server, work(requests));
    }
    play(&mut hosts, &members, 0, 4);
    for host in &hosts {
        let own = host.load.of(&server);
        let all = host.census.estimate(Key::from(&server), own, 8, ROUND * 4);
        assert_eq!(all.requests, 36);
        assert!((all.tokens - 36.0 * 900.0).abs() < 1.0, "{all:?}");
        assert!((all.unread - 36.0 * 500.0).abs() < 1.0, "{all:?}");
    }
}

/// Guards against a host that sees its own new work only after the next round.
#[test]
fn own_work_counts_at_once() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    play(&mut hosts, &members, 0, 4);
    hosts[4].load.add(&server, work(3));
    let own = hosts[4].load.of(&server);
    assert_eq!(
        hosts[4]
            .census
            .estimate(Key::from(&server), own, 8, ROUND * 4)
            .requests,
        3
    );
}

/// Guards against the work of a host that died, which would make its engines look full for ever.
#[test]
fn the_work_of_a_dead_host_is_forgotten() {
    let (mut hosts, mut members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    hosts[7].load.add(&server, work(50));
    play(&mut hosts, &members, 0, 4);
    let dead = hosts.pop().unwrap();
    members.retain(|_, member| member.exchange != dead.address);
    play(&mut hosts, &members, 4, 8);
    for host in &hosts {
        let seen = host
            .census
            .estimate(Key::from(&server), Work::default(), 7, ROUND * 12);
        assert_eq!(seen.requests, 0);
    }
}

/// Guards against an estimate that stays at its last value when the collector is lost.
#[test]
fn without_news_the_others_count_like_this_host() {
    let (mut hosts, members) = hosts(8);
    let server: id::Server = "engine-1".parse().unwrap();
    play(&mut hosts, &members, 0, 4);
    let late = ROUND * 4 + Duration::from_secs(2);
    let seen = hosts[5]
        .census
        .estimate(Key::from(&server), work(2), 8, late);
    assert_eq!(seen.requests, 16);
}

/// Guards against messages that grow with the square of the number of hosts.
#[test]
fn messages_grow_with_the_number_of_hosts() {
    for count in [8, 80, 300] {
        let (mut hosts, members) = hosts(count);
        let sent = play(&mut hosts, &members, 0, 3);
        assert!(
            sent <= 2 * usize::from(count) + 6,
            "{count} hosts sent {sent} messages"
        );
    }
}
