//! Crowds of callers that open many connections, or do not read their responses.

use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io::ErrorKind;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

use crate::host;
use crate::host::Host;
use crate::host::Limits;
use agatemill_standin::engine::Behaviour;

/// Descriptors of a lowered host, and the bound on those that it has open.
const DESCRIPTORS: u32 = 400;

/// Connections of a crowd, more than the host has descriptors.
const CALLERS: usize = 600;

/// Bound on the peak of the memory in bytes. No crowd here sends a body, so the connections themselves take it.
const MAX_PEAK_BYTES: u64 = 100_000_000;

/// Timeout for opening a connection of a crowd. A busy host accepts it later, since its accept queue is shorter than the crowd;
/// one that accepts no more drops it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of a response in bytes that does not fit into the buffers of the kernel.
const LARGE_BODY_BYTES: usize = 7 << 20;

/// Connections that fail in a row before the crowd opens no more.
const MAX_FAILURES: usize = 2;

/// Time after which a caller gives up to send, because the host does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the host accepts the connections of a crowd before it is checked.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Interval between the bytes of a caller that sends its head byte by byte.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// An idle connection may stay for longer than any test takes.
const LIMITS: Limits = Limits {
    memory_mb: 160,
    descriptors: DESCRIPTORS,
    body_bytes: 4_194_304,
    idle_ms: 600_000,
};

/// Opens connections and sends the same bytes on each. The host may close them, or accept no more.
fn open(address: SocketAddrV4, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let mut failures = 0;
    while streams.len() < count && failures < MAX_FAILURES {
        let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), CONNECT_TIMEOUT) else {
            failures += 1;
            continue;
        };
        failures = 0;
        stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
        let _ = stream.write_all(bytes);
        streams.push(stream);
    }
    println!("{} of {count} connections were opened", streams.len());
    streams
}

/// Half of the head of an ordinary request.
fn half_head() -> Vec<u8> {
    let head = host::head("read", "half", "content-length: 800");
    head.as_bytes()[..head.len() / 2].to_vec()
}

/// Checks a host while the connections of a crowd are open.
fn assert_sound(host: &mut Host) {
    thread::sleep(SETTLE_TIME);
    let open = host.open_descriptors();
    println!("open descriptors: {open} of {DESCRIPTORS}");
    assert!(open <= DESCRIPTORS as usize, "{open} descriptors are open");
    host.assert_within(MAX_PEAK_BYTES);
    assert_eq!(host.readiness(), Some(200));
    host.assert_serves("read");
    host.assert_serves("draft");
}

/// Waits until the host has closed the connections of a crowd.
fn assert_closed(host: &mut Host, streams: &[TcpStream]) {
    for stream in streams {
        stream.set_nonblocking(true).unwrap();
    }
    host.wait_until("the connections of the crowd are closed", |_| {
        let open = streams.iter().filter(|stream| !is_closed(stream)).count();
        open == 0
    });
    host.assert_within(MAX_PEAK_BYTES);
    assert_eq!(host.readiness(), Some(200));
    host.assert_serves("read");
    host.assert_serves("draft");
}

/// Checks that a series of the metrics is above 0.
fn assert_counted(host: &Host, series: &str) {
    let metrics = host.read_metrics();
    let lines = metrics.lines().filter_map(|line| line.rsplit_once(' '));
    let mut values = lines.filter(|(name, _)| name.ends_with(series));
    let value = values.next().map(|(_, value)| value);
    assert!(
        value.is_some_and(|value| value != "0"),
        "{series}: {value:?}"
    );
}

/// Whether the host has closed a connection, which its kernel tells as a response to another byte.
fn is_closed(mut stream: &TcpStream) -> bool {
    let written = stream.write(b"x");
    written.is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}

/// Guards against connections that send nothing and take all descriptors.
#[test]
fn connections_that_send_nothing_leave_descriptors() {
    let mut host = Host::start(LIMITS);
    let streams = open(host.callers, CALLERS, b"");
    assert_sound(&mut host);
    assert_counted(&host, r#"closed_connections_total{reason="idle_for_room"}"#);
    assert_counted(&host, r#"connections{purpose="callers"}"#);
    assert_counted(&host, r#"connections{purpose="servers"}"#);
    assert_counted(&host, r#"connections{purpose="store"}"#);
    drop(streams);
}

/// Guards against connections that send half a head and take all descriptors.
#[test]
fn connections_that_send_half_a_head_leave_descriptors() {
    let mut host = Host::start(LIMITS);
    let streams = open(host.callers, CALLERS, &half_head());
    assert_sound(&mut host);
    assert_counted(&host, r#"closed_connections_total{reason="head_for_room"}"#);
    drop(streams);
}

/// Guards against connections that send their heads byte by byte, and take all descriptors.
#[test]
fn heads_that_come_byte_by_byte_leave_descriptors() {
    let mut host = Host::start(LIMITS);
    let mut streams = open(host.callers, CALLERS, b"");
    let head = half_head();
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for byte in &head {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                for stream in &mut streams {
                    // Fails when the host has closed the connection.
                    let _ = stream.write_all(&[*byte]);
                }
                thread::sleep(BYTE_INTERVAL);
            }
        });
        assert_sound(&mut host);
        is_done.store(true, Ordering::Relaxed);
    });
}

/// Guards against heads that are never completed and keep their connections for the idle limit or longer.
#[test]
fn incomplete_heads_are_closed_before_the_idle_limit() {
    let mut host = Host::start(LIMITS);
    let streams = open(host.callers, 60, &half_head());
    assert_closed(&mut host, &streams);
    assert_counted(&host, r#"closed_connections_total{reason="head_timeout"}"#);
}

/// Guards against connections to the other listeners that take the descriptors of callers and servers.
#[test]
fn connections_to_other_listeners_leave_descriptors() {
    let mut host = Host::start(LIMITS);
    let listeners = [host.ready, host.metrics, host.directory, host.exchange];
    let streams = listeners.map(|address| open(address, CALLERS / 2, b""));
    assert_sound(&mut host);
    assert!(host.read_metrics().contains("agatemill_requests"));
    drop(streams);
}

/// Guards against callers that send many requests at once and never read: their responses fill the buffers of the
/// connection, and it stays open for ever.
#[test]
fn refusals_that_are_never_read_are_closed() {
    let mut host = Host::start(LIMITS);
    let request = host::head("none", "refused", "content-length: 0");
    let streams = open(host.callers, 8, request.repeat(20_000).as_bytes());
    assert_closed(&mut host, &streams);
    assert_counted(&host, r#"closed_connections_total{reason="not_read"}"#);
}

/// Guards against responses that are never read and keep the memory of their bodies for ever, while engines respond
/// without end.
#[test]
fn calls_that_are_never_read_are_closed() {
    let mut host = Host::start(LIMITS);
    for server in &host.services {
        server.set_behaviour(Behaviour::LargeBody(LARGE_BODY_BYTES));
    }
    for engine in &host.engines {
        engine.set_behaviour(Behaviour::EndlessBody(200));
    }
    // Short responses, such as refusals, fit into the buffers of the kernel and end their connections.
    let rest = "content-length: 0\r\nconnection: close";
    let call = host::head("read", "unread", rest);
    let stream = host::head("draft", "endless", rest);
    let mut streams = open(host.callers, 20, call.as_bytes());
    streams.extend(open(host.callers, 20, stream.as_bytes()));
    thread::sleep(SETTLE_TIME);
    for server in host.services.iter().chain(&host.engines) {
        server.set_behaviour(Behaviour::Serve);
    }
    assert_closed(&mut host, &streams);
}

/// Guards against many requests at once on few connections, which are served one after the other.
#[test]
fn pipelined_requests_leave_room_for_others() {
    let mut host = Host::start(LIMITS);
    let request = host::head("read", "pipelined", "content-length: 0");
    let streams = open(host.callers, 40, request.repeat(2_000).as_bytes());
    assert_sound(&mut host);
    drop(streams);
}
