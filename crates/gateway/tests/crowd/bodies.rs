//! Crowds of callers that send large bodies.

use core::time::Duration;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;

use crate::host;
use crate::host::Host;
use crate::host::Limits;

/// Connections of a crowd. Their bodies together are twice the memory of the host.
const CALLERS: usize = 48;

/// Largest legal body in bytes.
const BODY_BYTES: usize = 4_194_304;

/// Memory of a lowered host in millions of bytes, and the bound on the peak of its process.
const MEMORY_MB: u64 = 100;

/// Size of the pieces in which bodies are sent.
const PIECE_BYTES: usize = 64 << 10;

/// Time after which a caller gives up to send, because the host does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the servers send nothing, so that the host holds complete bodies.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for which the connections of a crowd stay open before the first check: longer than the timeout of the route, and long
/// enough that the host has read what the kernel buffered.
const HOLD: Duration = Duration::from_millis(4_500);

const LIMITS: Limits = Limits {
    memory_mb: MEMORY_MB,
    descriptors: 512,
    body_bytes: BODY_BYTES,
    idle_ms: 15_000,
};

/// Runs a crowd, and checks the memory and an ordinary request while its connections are still open.
fn run(callers: usize, send: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Sync) {
    let mut host = Host::start(LIMITS);
    for server in &host.services {
        server.pause(PAUSE);
    }
    let streams: Vec<TcpStream> = thread::scope(|scope| {
        let call = |number| {
            let (address, send) = (host.callers, &send);
            scope.spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_write_timeout(Some(SEND_TIMEOUT)).unwrap();
                // Fails when the host refuses the request or does not read.
                let _ = send(number, &mut stream);
                stream
            })
        };
        let threads: Vec<_> = (0..callers).map(call).collect();
        let streams = threads.into_iter().map(|thread| thread.join().unwrap());
        streams.collect()
    });
    thread::sleep(HOLD);
    host.assert_within(MEMORY_MB * 1_000_000);
    host.assert_open_within(LIMITS.descriptors);
    host.assert_serves("read");
    host.assert_serves("draft");
    drop(streams);
    host.assert_serves("read");
    host.assert_within(MEMORY_MB * 1_000_000);
}

fn write_head(stream: &mut TcpStream, number: usize, framing: &str) -> io::Result<()> {
    let head = host::head("read", &format!("crowd-{number}"), framing);
    stream.write_all(head.as_bytes())
}

/// Sends bytes of a body in pieces.
fn write_body(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let piece = vec![b'x'; PIECE_BYTES];
    let mut left = bytes;
    while left > 0 {
        let length = left.min(PIECE_BYTES);
        stream.write_all(&piece[..length])?;
        left -= length;
    }
    Ok(())
}

/// Waits for the response and drops it.
fn read_response(stream: &mut TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(SEND_TIMEOUT))?;
    let mut byte = [0];
    stream.read_exact(&mut byte)
}

/// Guards against a harness that measures nothing: a process without a crowd stays far below the bounds of the other tests.
#[test]
fn a_process_without_a_crowd_is_small() {
    let mut host = Host::start(Limits::default());
    host.assert_within(60_000_000);
    assert!(host.open_descriptors() < 64);
    assert_eq!(host.readiness(), Some(200));
    assert!(host.read_metrics().contains("agatemill_requests"));
    host.assert_serves("read");
    assert!(host.store.calls() > 0);
    assert!(
        host.engines
            .iter()
            .any(|engine| !engine.arrivals().is_empty())
    );
    assert!(
        host.services
            .iter()
            .any(|server| !server.arrivals().is_empty())
    );
}

/// Guards against limits on bodies that refuse a single legal request while nothing else is held.
#[test]
fn a_body_of_the_largest_legal_size_is_served_by_the_smallest_host() {
    let host = Host::start(Limits::default());
    for framing in [
        format!("content-length: {BODY_BYTES}"),
        "transfer-encoding: chunked".to_owned(),
    ] {
        let mut stream = TcpStream::connect(host.callers).unwrap();
        write_head(&mut stream, 0, &format!("{framing}\r\nconnection: close")).unwrap();
        if framing.starts_with("content") {
            write_body(&mut stream, BODY_BYTES).unwrap();
        } else {
            for _ in 0..BODY_BYTES / PIECE_BYTES {
                write!(stream, "{PIECE_BYTES:x}\r\n").unwrap();
                write_body(&mut stream, PIECE_BYTES).unwrap();
                stream.write_all(b"\r\n").unwrap();
            }
            stream.write_all(b"0\r\n\r\n").unwrap();
        }
        let mut response = Vec::new();
        stream.read_to_end(&mut response).unwrap();
        assert_eq!(host::status(&response), Some(200), "{framing}");
    }
}

/// Guards against bodies of legal size that exceed the memory together, while their requests run.
#[test]
fn whole_bodies_of_legal_size_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, &format!("content-length: {BODY_BYTES}"))?;
        write_body(stream, BODY_BYTES)?;
        read_response(stream)
    });
}

/// Guards against bodies of legal size that stop short of their end, and are held until the time of their requests is up.
#[test]
fn bodies_that_stop_short_of_their_end_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, &format!("content-length: {BODY_BYTES}"))?;
        write_body(stream, BODY_BYTES - 1)?;
        if number.is_multiple_of(3) {
            write_body(stream, 1)?;
        }
        Ok(())
    });
}

/// Guards against bodies that arrive piece by piece, so that all are admitted while each is still small.
#[test]
fn bodies_that_arrive_in_pieces_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, &format!("content-length: {BODY_BYTES}"))?;
        for _ in 1..BODY_BYTES / PIECE_BYTES {
            write_body(stream, PIECE_BYTES)?;
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    });
}

/// Guards against announced bodies over the limit that are held up to the limit before they are refused.
#[test]
fn announced_bodies_far_over_the_limit_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, "content-length: 1000000000")?;
        write_body(stream, BODY_BYTES * 4)
    });
}

/// Guards against bodies over the limit without a stated length that are held up to the limit before they are refused.
#[test]
fn unannounced_bodies_far_over_the_limit_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, "transfer-encoding: chunked")?;
        for _ in 0..4 * BODY_BYTES / PIECE_BYTES {
            write!(stream, "{PIECE_BYTES:x}\r\n")?;
            write_body(stream, PIECE_BYTES)?;
            stream.write_all(b"\r\n")?;
        }
        Ok(())
    });
}

/// Guards against chunks whose bookkeeping takes many times the memory of their bytes.
#[test]
fn chunks_of_one_byte_stay_within_the_memory() {
    run(CALLERS / 2, |number, stream| {
        write_head(stream, number, "transfer-encoding: chunked")?;
        let chunks = b"1\r\nx\r\n".repeat(1_000);
        for _ in 0..300 {
            stream.write_all(&chunks)?;
        }
        Ok(())
    });
}

/// Guards against large chunks that are held whole although their requests stop short of their end.
#[test]
fn chunks_of_a_megabyte_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, "transfer-encoding: chunked")?;
        for _ in 0..3 {
            stream.write_all(b"100000\r\n")?;
            write_body(stream, 1 << 20)?;
            stream.write_all(b"\r\n")?;
        }
        stream.write_all(b"100000\r\n")?;
        write_body(stream, (1 << 20) - 1)
    });
}

/// Guards against trailers without end that are collected.
#[test]
fn trailers_without_end_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, "transfer-encoding: chunked")?;
        stream.write_all(b"1\r\nx\r\n0\r\n")?;
        let line = format!("x-trailer: {}\r\n", "y".repeat(1_000));
        for _ in 0..4_000 {
            stream.write_all(line.as_bytes())?;
        }
        Ok(())
    });
}

/// Guards against chunk extensions without end that are collected.
#[test]
fn chunk_extensions_without_end_stay_within_the_memory() {
    run(CALLERS, |number, stream| {
        write_head(stream, number, "transfer-encoding: chunked")?;
        stream.write_all(b"1;")?;
        write_body(stream, BODY_BYTES)
    });
}
