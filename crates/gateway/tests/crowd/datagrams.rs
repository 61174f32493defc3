//! Datagrams without pause to the address for other hosts.

use core::net::Ipv4Addr;
use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::thread;

use serde::Serialize;

use crate::host::Done;
use crate::host::Host;
use crate::host::Limits;
use agatemill_fleet::Demand;
use agatemill_fleet::quarantine;
use agatemill_fleet::suspicion;
use agatemill_fleet::throttle;
use agatemill_gateway::gossip::Message;

/// Threads that send.
const SENDERS: usize = 4;

/// Memory of a lowered host in millions of bytes, and the bound on the peak of its process.
const MEMORY_MB: u64 = 100;

/// Descriptors of a lowered host, and the bound on those that it has open.
const DESCRIPTORS: u32 = 400;

/// Largest datagram in bytes that hosts send to each other.
const MAX_BYTES: usize = 60_000;

/// Time for which datagrams are sent before the first check.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Sends datagrams, each made from a number, and checks a host meanwhile and afterwards.
fn run(datagram: impl Fn(u64) -> Vec<u8> + Sync) {
    let mut host = Host::start(Limits {
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
        ..Limits::default()
    });
    let is_done = AtomicBool::new(false);
    let address = host.exchange;
    thread::scope(|scope| {
        for sender in 0..SENDERS {
            let (datagram, is_done) = (&datagram, &is_done);
            scope.spawn(move || {
                let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
                let numbers = (sender as u64..).step_by(SENDERS);
                for number in numbers.take_while(|_| !is_done.load(Ordering::Relaxed)) {
                    // Fails while the host's buffer is full.
                    let _ = socket.send_to(&datagram(number), address);
                }
            });
        }
        let _done = Done(&is_done);
        thread::sleep(SETTLE_TIME);
        host.assert_within(MEMORY_MB * 1_000_000);
        host.assert_open_within(DESCRIPTORS);
        host.assert_answers("datagrams");
    });
    host.assert_serves("read");
    host.assert_serves("draft");
    host.assert_within(MEMORY_MB * 1_000_000);
}

/// Rows of the load of a host on servers that nobody knows.
fn rows(number: u64, count: usize) -> BTreeMap<u32, (u32, u32, u32)> {
    let mut random = fastrand::Rng::with_seed(number);
    (0..count).map(|_| (random.u32(..), (1, 1, 1))).collect()
}

/// Evidence that says nothing.
fn no_evidence() -> impl Serialize {
    quarantine::notice::Notice::default()
}

/// Limits that name no server.
fn no_limits() -> impl Serialize {
    throttle::message::Notice::default()
}

/// A message to the census of a host without load.
fn no_load() -> impl Serialize {
    let rows = BTreeMap::<u32, (u32, u32, u32)>::new();
    (0_u8, "unknown", (rows, Demand::default()))
}

/// A round of a host in the format of [`Message`].
fn round(census: impl Serialize, evidence: impl Serialize, limits: impl Serialize) -> Vec<u8> {
    let suspicion = suspicion::Notice::default();
    let round = (0_u8, census, evidence, limits, suspicion, 0_u64);
    let bytes = postcard::to_stdvec(&round).unwrap();
    assert!(bytes.len() <= MAX_BYTES, "{} bytes", bytes.len());
    postcard::from_bytes::<Message>(&bytes).expect("the format of a message");
    bytes
}

/// Guards against datagrams that are none of another host and hold up the host.
#[test]
fn datagrams_that_are_invalid_do_not_hold_up_the_host() {
    run(|number| {
        let mut random = fastrand::Rng::with_seed(number);
        let mut bytes = vec![0; random.usize(1..MAX_BYTES)];
        random.fill(&mut bytes);
        bytes
    });
}

/// Guards against loads of hosts that nobody knows, which are held for each.
#[test]
fn loads_of_unknown_hosts_stay_within_the_memory() {
    run(|number| {
        let host = format!("unknown-{number}");
        let load = (0_u8, host, (rows(number, 7_000), Demand::default()));
        round(load, no_evidence(), no_limits())
    });
}

/// Guards against the same for sums of collectors, with the largest number of other collectors that they name.
#[test]
fn sums_of_unknown_collectors_stay_within_the_memory() {
    run(|number| {
        let mut random = fastrand::Rng::with_seed(number);
        let mut address = || SocketAddrV4::new(Ipv4Addr::new(127, 9, 9, 9), random.u16(1..));
        let collectors: Vec<_> = (0..64).map(|_| address()).collect();
        let host = format!("unknown-{number}");
        let tally = (rows(number, 6_000), Demand::default());
        round((1_u8, host, tally, collectors), no_evidence(), no_limits())
    });
}

/// Guards against limits of servers that nobody knows, which are held for each.
#[test]
fn limits_of_unknown_servers_stay_within_the_memory() {
    run(|number| {
        let mut random = fastrand::Rng::with_seed(number);
        let rows = (0..5_000).map(|_| (random.u32(..), Some("1/s"), 0));
        let rows: Vec<(u32, Option<&str>, u32)> = rows.collect();
        round(no_load(), no_evidence(), (rows,))
    });
}

/// Guards against evidence on parts of prompts that nobody knows, which is held for each.
#[test]
fn evidence_on_unknown_parts_stays_within_the_memory() {
    run(|number| {
        let mut random = fastrand::Rng::with_seed(number);
        let cleared: Vec<u64> = (0..5_500).map(|_| random.u64(..)).collect();
        // No part is suspected or quarantined, and there are no sets of suspects.
        let evidence = ([0_u8; 2], cleared, 0_u8);
        round(no_load(), evidence, no_limits())
    });
}

/// Guards against asks for any number of credits, which are counted out one by one.
#[test]
fn asks_for_many_credits_do_not_hold_up_the_host() {
    let servers = 0..2_000_u32;
    run(|number| {
        if number % 8 == 0 {
            let rows = servers
                .clone()
                .map(|server| (server, Some("1000000000/s"), 0));
            let rows: Vec<(u32, Option<&str>, u32)> = rows.collect();
            return round(no_load(), no_evidence(), (rows,));
        }
        let rows: Vec<(u32, u32)> = servers.clone().map(|server| (server, u32::MAX)).collect();
        let bytes = postcard::to_stdvec(&(1_u8, number, rows)).unwrap();
        postcard::from_bytes::<Message>(&bytes).expect("the format of a message");
        bytes
    });
}
