//! Requests whose bodies do not fit into the account of memory.

use core::time::Duration;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use crate::host;
use crate::host::Host;
use crate::host::Limits;
use agatemill_standin::Engine;

/// Largest legal body in bytes.
const BODY_BYTES: usize = 4_194_304;

/// Bodies that one caller may have held at once by a host of 100 MB: three quarters of 30 MB.
const FITTING: usize = 5;

/// Bytes of the bodies that are held now, from the metrics.
fn held(host: &Host) -> usize {
    let metrics = host.read_metrics();
    let prefix = "agatemill_held_bytes{purpose=\"requests\"} ";
    let value = metrics.lines().find_map(|line| line.strip_prefix(prefix));
    value.map_or(0, |value| value.parse().unwrap())
}

fn send_head(host: &Host, attempt: &str) -> TcpStream {
    let mut stream = TcpStream::connect(host.callers).unwrap();
    let head = host::head("read", attempt, &format!("content-length: {BODY_BYTES}"));
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

/// Sends as many bodies as fit, up to a number of bytes of each.
fn send_bodies(host: &Host, bytes: usize) -> Vec<TcpStream> {
    let send = |number| {
        let mut stream = send_head(host, &format!("held-{number}"));
        stream.write_all(&vec![b'x'; bytes]).unwrap();
        stream
    };
    (0..FITTING).map(send).collect()
}

/// Guards against a refusal that comes late, does not say when to come back, or is followed by a run, and against bytes that
/// stay taken after the requests have ended.
#[test]
fn a_body_that_does_not_fit_is_refused_at_once() {
    let mut host = Host::start(Limits {
        memory_mb: 100,
        ..Limits::default()
    });
    for server in &host.services {
        server.pause(Duration::from_secs(4));
    }
    let _streams = send_bodies(&host, BODY_BYTES);
    host.wait_until("the bodies are held", |host| {
        held(host) >= FITTING * BODY_BYTES
    });
    let mut refused = send_head(&host, "refused");
    let mut response = String::new();
    refused.read_to_string(&mut response).unwrap();
    assert_eq!(host::status(response.as_bytes()), Some(503), "{response}");
    let response = response.to_ascii_lowercase();
    assert!(response.contains("\r\nretry-after: "), "{response}");
    assert!(response.contains("\r\nconnection: close"), "{response}");
    host.wait_until("the refusal is logged", |host| {
        host.read_log().contains("memory: refused a body")
    });
    let counter = "agatemill_events_total{event=\"refused_owner\",part=\"memory\"} 1";
    assert!(host.read_metrics().contains(counter));
    host.wait_until("the bodies are returned", |host| held(host) == 0);
    host.assert_serves("read");
    let mut arrivals = host.services.iter().flat_map(Engine::arrivals);
    assert!(arrivals.all(|arrival| arrival.attempt != "refused"));
}

/// Guards against bodies that stop short of their end and keep a complete one from being served until their time is up.
#[test]
fn a_body_that_stops_short_is_ended_for_another_one() {
    let mut host = Host::start(Limits {
        memory_mb: 100,
        ..Limits::default()
    });
    let _streams = send_bodies(&host, BODY_BYTES - 1);
    host.wait_until("the bodies are held", |host| {
        held(host) >= FITTING * BODY_BYTES
    });
    host.wait_until("a body is ended and another one is served", |host| {
        let mut stream = send_head(host, "whole");
        // Fails if the request is refused, because no body is old enough to be ended.
        let _ = stream.write_all(&vec![b'x'; BODY_BYTES]);
        let mut response = [0; 12];
        stream.read_exact(&mut response).is_ok()
            && host::status(&response) == Some(200)
            && host
                .read_metrics()
                .contains("agatemill_events_total{event=\"ended\",part=\"memory\"}")
    });
}
