//! Graceful shutdown of a running entry.

use core::time::Duration;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::thread;

use crate::support::System;
use crate::support::TOKEN;
use crate::support::agent;
use crate::support::chat;

mod support;

/// Guards against a graceful shutdown that truncates a stream, and against a listener that stays open.
#[test]
fn a_stream_in_progress_completes() {
    let System {
        entry,
        engines,
        service: _service,
        spare: _spare,
        platform: _platform,
    } = System::start();
    for engine in &engines {
        engine.update_faults(|faults| {
            faults.late = 10_000;
            faults.late_ms = 20;
        });
    }
    let address = entry.address();
    let response = agent()
        .post(format!("http://{address}/v1/chat/completions"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .send(chat(r#","stream":true"#))
        .unwrap();
    let close = thread::spawn(move || smol::block_on(entry.close()));
    thread::sleep(Duration::from_millis(100));
    let health = format!("http://{address}/healthz");
    assert_eq!(agent().get(&health).call().unwrap().status(), 200);
    let mut response = response;
    let text = response.body_mut().read_to_string().unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(close.join().unwrap());
    assert!(agent().get(&health).call().is_err());
}

/// Guards against a keep-alive connection that is closed without notice or that delays the shutdown.
#[test]
fn a_keep_alive_connection_gets_connection_close() {
    let system = System::start();
    let stream = system.connect();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut request_head = || {
        writer
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            .unwrap();
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(reader.read_line(&mut head).unwrap(), 0, "{head}");
        }
        let mut body = [0; 3];
        reader.read_exact(&mut body).unwrap();
        head
    };
    assert!(!request_head().contains("connection: close"));
    let System { entry, .. } = system;
    let close = thread::spawn(move || smol::block_on(entry.close()));
    // The addresses are valid for 200 ms, then connections close after their response.
    thread::sleep(Duration::from_millis(500));
    assert!(request_head().contains("connection: close"));
    assert!(close.join().unwrap());
}

/// Guards against a shutdown that waits for ever, and against one that reports aborted requests as completed.
#[test]
fn the_drain_limit_ends_the_shutdown() {
    let system = System::start();
    let mut stream = system.connect();
    let System {
        entry,
        service,
        spare,
        ..
    } = system;
    service.update_faults(|faults| faults.before_ms = 30_000);
    spare.update_faults(|faults| faults.before_ms = 30_000);
    let request = format!(
        "GET /v1/services/filing/cases/1 HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(100));
    let start = std::time::Instant::now();
    assert!(!smol::block_on(entry.close()));
    assert!(start.elapsed() >= Duration::from_secs(3));
}
