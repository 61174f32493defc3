//! Crowds that make the host hold heads, events, frames from other hosts, or bodies of several owners.

use core::net::Ipv4Addr;
use core::net::SocketAddr;
use core::net::SocketAddrV4;
use core::ops::Range;
use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

use async_compat::CompatExt;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tarpc::client::Config;

use crate::host;
use crate::host::Host;
use crate::host::Limits;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;
use agatemill_wire::feed::Cursor;
use agatemill_wire::feed::FeedClient;
use agatemill_wire::transport;
use agatemill_wire::transport::Service;

/// Memory of a lowered host in millions of bytes, and the bound on the peak of its process.
const MEMORY_MB: u64 = 100;

/// Largest legal body in bytes.
const BODY_BYTES: usize = 4_194_304;

/// Largest legal head in bytes, in the configuration of the tests.
const HEAD_BYTES: usize = 16_384;

/// Time after which a caller gives up to send, because the host does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the connections of a crowd stay open before the first check.
const HOLD: Duration = Duration::from_secs(3);

const LIMITS: Limits = Limits {
    memory_mb: MEMORY_MB,
    descriptors: 4_100,
    body_bytes: BODY_BYTES,
    idle_ms: 15_000,
};

/// Checks a host while the connections of a crowd are open.
fn assert_sound(host: &mut Host) {
    host.assert_within(MEMORY_MB * 1_000_000);
    host.assert_open_within(LIMITS.descriptors);
    assert_serves(host);
    host.assert_within(MEMORY_MB * 1_000_000);
}

fn assert_serves(host: &mut Host) {
    host.assert_serves("read");
    host.assert_serves("draft");
}

/// Sends requests from loopback addresses with these last numbers, whose heads almost have the largest legal size.
fn send_heads(
    host: &Host,
    addresses: Range<u8>,
    count: usize,
    body_bytes: usize,
) -> Vec<TcpStream> {
    let value = "y".repeat(180);
    let lines: Vec<_> = (0..80)
        .map(|number| format!("filler-{number}: {value}\r\n"))
        .collect();
    let filler = lines.concat();
    let head = host::head(
        "read",
        "head",
        &format!("{filler}content-length: {body_bytes}"),
    );
    assert!(head.len() > HEAD_BYTES * 9 / 10 && head.len() < HEAD_BYTES);
    let addresses = addresses.cycle().take(count);
    let send = |last| {
        let mut stream = open_from(last, host.callers)?;
        stream.write_all(head.as_bytes()).ok()?;
        Some(stream)
    };
    addresses.filter_map(send).collect()
}

fn open(address: SocketAddrV4, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address.into(), SEND_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    // Fails when the host closes the connection or does not read.
    let _ = stream.write_all(bytes);
    Some(stream)
}

/// Opens a connection from one of the loopback addresses.
fn open_from(last: u8, address: SocketAddrV4) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let from = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, last), 0);
    socket.bind(&SocketAddr::from(from).into()).unwrap();
    let to = SocketAddr::from(address).into();
    socket.connect_timeout(&to, SEND_TIMEOUT).ok()?;
    socket.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
    Some(socket.into())
}

/// Head of a request with a body of the largest legal size.
fn head_of_body(key: &str, attempt: &str) -> String {
    let rest = format!("content-length: {BODY_BYTES}");
    host::head("read", attempt, &rest).replace("Bearer k1", &format!("Bearer {key}"))
}

/// Guards against an account that refuses a single request with the largest legal head and body, with the least memory that the
/// settings allow.
#[test]
fn a_head_and_a_body_of_the_largest_legal_size_are_served() {
    let host = Host::start(Limits {
        memory_mb: 64,
        ..LIMITS
    });
    let mut streams = send_heads(&host, 1..2, 1, BODY_BYTES);
    let stream = &mut streams[0];
    stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
    let mut response = [0; 12];
    stream.read_exact(&mut response).unwrap();
    assert_eq!(host::status(&response), Some(200));
}

/// Guards against heads of the largest legal size that are held for a crowd of requests in progress.
#[test]
fn heads_of_the_largest_legal_size_stay_within_the_memory() {
    let mut host = Host::start(LIMITS);
    for server in &host.services {
        server.pause(HOLD);
    }
    let streams = send_heads(&host, 1..2, 600, 0);
    thread::sleep(HOLD);
    assert_sound(&mut host);
    drop(streams);
}

/// Guards against the same on the smallest host, with as many requests as it has connections for callers, beside bodies that
/// take the memory for bodies.
#[test]
fn heads_beside_bodies_stay_within_the_memory() {
    let mut host = Host::start(Limits::default());
    // All requests are held until they are checked.
    let routes = host.store.value(document::KEY).unwrap();
    let routes = routes
        .replace(r#""version":3"#, r#""version":4"#)
        .replace(r#""timeout-ms":4000"#, r#""timeout-ms":30000"#);
    host.store.put(document::KEY, &routes);
    thread::sleep(HOLD);
    for server in &host.services {
        server.set_behaviour(Behaviour::Silent);
    }
    let bodies: Vec<_> = (0..12)
        .filter_map(|number| {
            let mut stream = open_from(10 + number, host.callers)?;
            let head = head_of_body(["k1", "k2"][usize::from(number % 2)], "body");
            stream.write_all(head.as_bytes()).ok()?;
            stream.write_all(&vec![b'x'; BODY_BYTES]).ok()?;
            Some(stream)
        })
        .collect();
    let streams = send_heads(&host, 2..6, 1_200, 0);
    thread::sleep(HOLD);
    host.assert_within(160_000_000);
    for server in &host.services {
        server.set_behaviour(Behaviour::Serve);
    }
    drop((bodies, streams));
    assert_serves(&mut host);
    host.assert_within(160_000_000);
}

/// Guards against the same for requests that are held because their small bodies stop short of their end.
#[test]
fn heads_before_bodies_that_stop_short_stay_within_the_memory() {
    let mut host = Host::start(Limits::default());
    let streams = send_heads(&host, 2..6, 1_200, 800);
    let streams: Vec<_> = streams
        .into_iter()
        .filter_map(|mut stream| stream.write_all(&[b'x'; 799]).ok().map(|()| stream))
        .collect();
    thread::sleep(HOLD);
    host.assert_within(160_000_000);
    assert_serves(&mut host);
    host.assert_within(160_000_000);
    drop(streams);
}

/// Guards against heads that stop short of their end and are held.
#[test]
fn heads_that_stop_short_of_their_end_stay_within_the_memory() {
    let mut host = Host::start(LIMITS);
    let head = host::head("read", "head", "content-length: 0");
    let head = head.trim_end().to_owned() + "\r\nfiller: " + &"y".repeat(2 * HEAD_BYTES);
    let streams: Vec<_> = (0..600)
        .filter_map(|_| open(host.callers, head.as_bytes()))
        .collect();
    assert_sound(&mut host);
    drop(streams);
}

/// Guards against events of engines that are collected for callers who never read them.
#[test]
fn events_that_are_never_read_stay_within_the_memory() {
    let mut host = Host::start(LIMITS);
    for engine in &host.engines {
        engine.set_behaviour(Behaviour::EndlessEvents(32 << 10));
    }
    let head = host::head("draft", "unread", "content-length: 0\r\nconnection: close");
    let streams: Vec<_> = (0..60)
        .filter_map(|_| open(host.callers, head.as_bytes()))
        .collect();
    thread::sleep(HOLD);
    host.assert_within(MEMORY_MB * 1_000_000);
    for engine in &host.engines {
        engine.set_behaviour(Behaviour::Serve);
    }
    assert_sound(&mut host);
    drop(streams);
}

/// Guards against frames of the largest size that stop short of their end and are held for each connection of another host.
#[test]
fn frames_that_stop_short_of_their_end_stay_within_the_memory() {
    let mut host = Host::start(LIMITS);
    let length = u32::try_from(BODY_BYTES).unwrap();
    let mut frame = vec![b'F'];
    frame.extend(length.to_be_bytes());
    frame.resize(BODY_BYTES, 0);
    let streams: Vec<_> = (0..48)
        .filter_map(|_| open(host.exchange, &frame))
        .collect();
    thread::sleep(HOLD);
    assert_sound(&mut host);
    drop(streams);
}

/// Guards against calls of another host that wait without a limit on their number.
#[test]
fn calls_of_other_hosts_that_wait_stay_within_the_memory() {
    const CALLS: usize = 40_000;
    let mut host = Host::start(LIMITS);
    let address = host.exchange.into();
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_mins(10);
    let mut config = Config::default();
    config.max_in_flight_requests = CALLS;
    config.pending_request_buffer = CALLS;
    let after = Cursor {
        era: 1,
        revision: 1 << 40,
    };
    let calls = (0..4).map(|_| {
        let config = config.clone();
        agatemill_runtime::spawn(async move {
            let transport = transport::connect(address, Service::Feed).await.unwrap();
            let client = FeedClient::new(config, transport);
            let dispatch = client.dispatch.compat();
            let client = client.client;
            let calls = (0..CALLS).map(|_| client.changes(context, after, 1, u32::MAX, true));
            let calls = futures::future::join_all(calls).compat();
            futures::future::join(calls, dispatch).await
        })
    });
    let calls: Vec<_> = calls.collect();
    thread::sleep(HOLD);
    assert_sound(&mut host);
    drop(calls);
}

/// Guards against bodies of many addresses and two organisations that exceed the memory together.
#[test]
fn bodies_of_several_owners_stay_within_the_memory() {
    let mut host = Host::start(LIMITS);
    for server in &host.services {
        server.pause(HOLD);
    }
    let streams: Vec<_> = thread::scope(|scope| {
        let call = |number: u8| {
            let address = host.callers;
            scope.spawn(move || {
                let mut stream = open_from(2 + number % 8, address)?;
                let key = ["k1", "k2"][usize::from(number % 2)];
                let head = head_of_body(key, &format!("owner-{number}"));
                let short = usize::from(!number.is_multiple_of(3));
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&vec![b'x'; BODY_BYTES - short]);
                Some(stream)
            })
        };
        let threads: Vec<_> = (0..48).map(call).collect();
        let streams = threads.into_iter();
        streams
            .filter_map(|thread| thread.join().unwrap())
            .collect()
    });
    thread::sleep(HOLD);
    assert_sound(&mut host);
    drop(streams);
}

/// Guards against an owner whose bodies leave no memory for the first body of another address and organisation.
#[test]
fn an_owner_leaves_memory_for_a_body_of_another_one() {
    let mut host = Host::start(LIMITS);
    let streams: Vec<_> = (0..24)
        .filter_map(|number| {
            let mut stream = open_from(2, host.callers)?;
            let head = head_of_body("k1", &format!("owner-{number}"));
            stream.write_all(head.as_bytes()).ok()?;
            Some(stream)
        })
        .collect();
    host.wait_until("the bodies of the owner are held", |host| {
        let metrics = host.read_metrics();
        let held = metrics
            .lines()
            .find_map(|line| line.strip_prefix("agatemill_held_bytes{purpose=\"requests\"} "));
        held.is_some_and(|held| held.parse::<usize>().unwrap() >= 4 * BODY_BYTES)
    });
    let mut stream = open_from(3, host.callers).unwrap();
    let head = head_of_body("k2", "another")
        .replace("content-length", "connection: close\r\ncontent-length");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert_eq!(host::status(&response), Some(200));
    assert_sound(&mut host);
    drop(streams);
}
