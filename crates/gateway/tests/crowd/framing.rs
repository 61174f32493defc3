//! Peers whose framing of a body never ends, or costs many times what the body brings.

use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

use serde_json::json;

use crate::host;
use crate::host::Done;
use crate::host::Host;
use crate::host::Limits;
use crate::host::TRIES;
use agatemill_standin::Engine;
use agatemill_standin::http;

/// Connections of a crowd.
const CALLERS: usize = 8;

/// Connections of a crowd that sends legal chunks, fewer than a host with the default descriptors admits from one address.
const MANY: usize = 400;

/// Memory of a lowered host in millions of bytes, and the bound on the peak of its process.
const MEMORY_MB: u64 = 100;

/// Descriptors of a lowered host, and the bound on those that it has open.
const DESCRIPTORS: u32 = 400;

const LIMITS: Limits = Limits {
    memory_mb: MEMORY_MB,
    descriptors: DESCRIPTORS,
    body_bytes: 4_194_304,
    idle_ms: 15_000,
};

/// Size of what a caller writes at once.
const PIECE_BYTES: usize = 64 << 10;

/// Time after which the crowd looks whether it has to stop, while the host accepts neither a connection nor bytes.
const SEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a crowd sends before the first check.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What follows the head of a chunked body: a beginning, and what is repeated after it.
type Framing = (&'static str, &'static str, &'static [u8]);

/// Framings without end, and framings of which a byte of the body takes thousands.
const FRAMINGS: [Framing; 6] = [
    ("zeros before a size", "", b"0"),
    ("spaces after a size", "1", b" "),
    ("tabs after a size", "1", b"\t"),
    ("an extension", "1;", b"x"),
    ("trailers", "1\r\nx\r\n0\r\n", b"filler: x\r\n"),
    ("a chunk with a long size", "", &LONG_CHUNK),
];

/// A chunk of one byte whose size has thousands of digits.
const LONG_CHUNK: [u8; 4_000] = {
    let mut chunk = [b'0'; 4_000];
    let end = chunk.len();
    chunk[end - 6] = b'1';
    chunk[end - 5] = b'\r';
    chunk[end - 4] = b'\n';
    chunk[end - 3] = b'x';
    chunk[end - 2] = b'\r';
    chunk[end - 1] = b'\n';
    chunk
};

/// Sends a request with a framing until the crowd has to stop, again and again on new connections.
fn send(address: SocketAddrV4, head: &str, (_, start, piece): Framing, is_done: &AtomicBool) {
    let pieces = piece.repeat(PIECE_BYTES.div_ceil(piece.len()));
    while !is_done.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), SEND_TIMEOUT) else {
            continue;
        };
        stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
        let mut result = stream.write_all(format!("{head}{start}").as_bytes());
        while result.is_ok() && !is_done.load(Ordering::Relaxed) {
            result = stream.write_all(&pieces);
        }
        // Ends when the host closes the connection, after a refusal that is not read.
        drop(stream);
    }
}

/// Checks a host while a crowd sends, and after it.
fn assert_answers(host: &mut Host, what: &str) {
    thread::sleep(SETTLE_TIME);
    host.assert_within(MEMORY_MB * 1_000_000);
    host.assert_open_within(DESCRIPTORS);
    host.assert_answers(what);
}

/// Runs crowds with each of the framings against a listener.
fn run(address: impl Fn(&Host) -> SocketAddrV4, head: &str) {
    let mut host = Host::start(LIMITS);
    for framing in FRAMINGS {
        let is_done = AtomicBool::new(false);
        let address = address(&host);
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| send(address, head, framing, &is_done));
            }
            let _done = Done(&is_done);
            assert_answers(&mut host, framing.0);
        });
        host.assert_serves("read");
    }
    host.assert_within(MEMORY_MB * 1_000_000);
}

fn head_of_call() -> String {
    host::head("read", "framing", "transfer-encoding: chunked")
}

/// Head of a request to another listener; those pass over the bodies of requests.
fn head_of_other(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Sends legal chunks of one byte on many connections until the crowd has to stop, and opens those anew that the host closes.
fn send_single_bytes(address: SocketAddrV4, head: &str, count: usize, is_done: &AtomicBool) {
    let chunks = b"1\r\nx\r\n".repeat(PIECE_BYTES / 6);
    let open = || {
        let mut stream = TcpStream::connect_timeout(&address.into(), SEND_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
        stream.write_all(head.as_bytes()).ok()?;
        stream.set_nonblocking(true).unwrap();
        // The stream, and the bytes of the chunks that were written.
        Some((stream, 0))
    };
    let mut streams: Vec<Option<(TcpStream, usize)>> = (0..count).map(|_| None).collect();
    while !is_done.load(Ordering::Relaxed) {
        for slot in &mut streams {
            if slot.is_none() && !is_done.load(Ordering::Relaxed) {
                *slot = open();
            }
            let Some((stream, written)) = slot else {
                continue;
            };
            match stream.write(&chunks[*written..]) {
                Ok(bytes) => *written = (*written + bytes) % chunks.len(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against bodies in chunks of one byte whose decoding leaves no time for ordinary requests, however many callers send
/// them.
#[test]
fn single_bytes_of_many_callers_do_not_hold_up_the_host() {
    let limits = Limits {
        descriptors: Limits::default().descriptors,
        ..LIMITS
    };
    let mut host = Host::start(limits);
    let is_done = AtomicBool::new(false);
    let address = host.callers;
    let head = head_of_call();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| send_single_bytes(address, &head, MANY / CALLERS, &is_done));
        }
        let _done = Done(&is_done);
        thread::sleep(SETTLE_TIME);
        host.assert_within(MEMORY_MB * 1_000_000);
        host.assert_open_within(limits.descriptors);
        host.assert_answers("single bytes");
    });
    host.assert_serves("read");
    host.assert_within(MEMORY_MB * 1_000_000);
}

/// Guards against framing of callers that the host decodes without letting other tasks run.
#[test]
fn framing_of_callers_does_not_hold_up_the_host() {
    run(|host| host.callers, &head_of_call());
}

/// Guards against the same in requests that are refused before their bodies are read.
#[test]
fn framing_of_refused_requests_does_not_hold_up_the_host() {
    let head = head_of_call().replace("Bearer k1", "Bearer none");
    run(|host| host.callers, &head);
}

/// Guards against the same on the listener of the directory.
#[test]
fn framing_at_the_directory_does_not_hold_up_the_host() {
    run(|host| host.directory, &head_of_other("/agatemill/resolve"));
}

/// Guards against the same on the listener for readiness checks.
#[test]
fn framing_of_readiness_checks_does_not_hold_up_the_host() {
    run(|host| host.ready, &head_of_other("/agatemill/readyz"));
}

/// Guards against the same on the listener for metrics.
#[test]
fn framing_of_reads_of_metrics_does_not_hold_up_the_host() {
    run(|host| host.metrics, &head_of_other("/metrics"));
}

/// Guards against the same in responses of a server.
#[test]
fn framing_of_servers_does_not_hold_up_the_host() {
    let mut host = Host::start(LIMITS);
    for (name, start, piece) in FRAMINGS {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let start = format!("{head}{start}");
        let piece = core::str::from_utf8(piece).unwrap();
        let faulty = http::serve_endless(start.leak(), piece);
        host.services[0].set_entry("address", json!(faulty.address.to_string()));
        let is_done = AtomicBool::new(false);
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    while !is_done.load(Ordering::Relaxed) {
                        host.answer("read");
                    }
                });
            }
            let _done = Done(&is_done);
            thread::sleep(SETTLE_TIME);
            assert!(faulty.accepted.load(Ordering::Relaxed) > 0, "{name}");
            let is_served = (0..TRIES).any(|_| host.answer("draft") == Some(200));
            assert!(is_served, "{name}: no ordinary request is answered");
            let is_ready = (0..TRIES).any(|_| host.readiness() == Some(200));
            assert!(is_ready, "{name}: the readiness check is not answered");
        });
        host.assert_within(MEMORY_MB * 1_000_000);
    }
}

/// Guards against a limit on framing that refuses a legal body in the smallest chunks, with the padded sizes of some clients.
#[test]
fn a_legal_body_in_the_smallest_chunks_is_served() {
    const BYTES: usize = 40_000;
    let host = Host::start(LIMITS);
    for chunk in ["1\r\nx\r\n", "00000001\r\nx\r\n", "1 \r\nx\r\n"] {
        let mut stream = TcpStream::connect(host.callers).unwrap();
        let rest = "transfer-encoding: chunked\r\nconnection: close";
        let head = host::head("read", "smallest", rest);
        stream.write_all(head.as_bytes()).unwrap();
        let chunks = chunk.repeat(BYTES);
        stream.write_all(chunks.as_bytes()).unwrap();
        stream.write_all(b"0\r\n\r\n").unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).unwrap();
        assert_eq!(host::status(&response), Some(200), "{chunk:?}");
    }
    let mut arrivals = host.services.iter().flat_map(Engine::arrivals);
    assert!(arrivals.any(|arrival| arrival.body.len() == BYTES));
}
