//! Responses that have neither a length nor chunks and end with their connection.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::Arc;

use crate::complete_stream;
use crate::run_test;
use agatemill_standin::engine::EVENTS;
use agatemill_standin::http;
use agatemill_standin::http::End;

/// Events from `first` up to `end`.
fn events(first: u32, end: u32) -> String {
    let event = |number| format!("id: {number}\ndata: t{number}\n\n");
    (first..end).map(event).collect()
}

/// Guards against streams that lose their end, or repeat events, because the first run ends inside an event or is reset.
#[test]
fn only_a_stream_that_is_closed_between_events_is_complete() {
    let cases = [
        ("closed after the last event", events(0, EVENTS), End::Close),
        (
            "closed inside an event",
            events(0, 3) + "id: 3\nda",
            End::Close,
        ),
        ("reset between events", events(0, 3), End::Reset),
        (
            "reset inside an event",
            events(0, 3) + "id: 3\nda",
            End::Reset,
        ),
        ("reset after the last event", events(0, EVENTS), End::Reset),
        ("reset before the first event", String::new(), End::Reset),
    ];
    run_test(2, |system| async move {
        for (number, (name, body, end)) in cases.into_iter().enumerate() {
            let runs = AtomicUsize::new(0);
            let respond = move |last_event: Option<u32>| {
                if runs.fetch_add(1, Ordering::Relaxed) == 0 {
                    return (body.clone(), end);
                }
                let next = last_event.map_or(0, |last| last + 1);
                (events(next, EVENTS), End::Close)
            };
            let respond = Arc::new(respond);
            let address = http::serve_unframed(move |last_event| respond(last_event));
            system
                .move_server(system.first_engine(), "model", address)
                .await;
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream(), "{name}");
            assert!(response.is_complete, "{name}");
        }
    });
}

/// Guards against a stream that cannot be resumed and looks complete although it was reset.
#[test]
fn a_reset_stream_that_cannot_be_resumed_is_incomplete() {
    run_test(2, |system| async move {
        let address = http::serve_unframed(|_| (events(0, 3), End::Reset));
        system
            .move_server(system.first_engine(), "model", address)
            .await;
        let response = system.send("once", "a1").await;
        assert_eq!(response.body, events(0, 3));
        assert!(!response.is_complete);
    });
}

/// Guards against the part of a whole response that passes for all of it.
#[test]
fn only_a_whole_response_that_is_closed_is_complete() {
    run_test(2, |system| async move {
        for server in &system.services {
            let closed = http::serve_unframed(|_| ("done by raw".to_owned(), End::Close));
            system.move_server(server, "plain", closed).await;
        }
        let response = system.send("pay", "p1").await;
        assert_eq!(
            (response.status.as_u16(), response.body.as_str()),
            (200, "done by raw")
        );
        let reset = http::serve_unframed(|_| ("done by".to_owned(), End::Reset));
        system
            .move_server(&system.services[0], "plain", reset)
            .await;
        for number in 0..6 {
            let response = system.send("read", &format!("r{number}")).await;
            assert_eq!(response.body, "done by raw");
        }
        let reset = http::serve_unframed(|_| ("done by".to_owned(), End::Reset));
        system
            .move_server(&system.services[1], "plain", reset)
            .await;
        let response = system.send("pay", "p2").await;
        assert_eq!(response.status, 502);
    });
}

/// Guards against a stream that looks complete without an event because its engine crashed before the first one.
#[test]
fn a_stream_that_ends_with_its_engine_before_the_first_event_goes_on_elsewhere() {
    run_test(4, |system| async move {
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        let address = http::serve_unframed(move |_| {
            counted.fetch_add(1, Ordering::Relaxed);
            (String::new(), End::Exit)
        });
        system
            .move_server(system.first_engine(), "model", address)
            .await;
        // Another engine has the first layers as well, and either is chosen.
        let mut number = 0;
        while runs.load(Ordering::Relaxed) == 0 {
            let response = system.send("draft", &format!("a{number}")).await;
            assert_eq!(response.body, complete_stream());
            number += 1;
        }
    });
}

/// Guards against a stream that looks complete without its last events because its engine crashed between two, also when the
/// engine is back before the host looks.
#[test]
fn a_stream_that_ends_with_its_engine_between_events_is_not_complete() {
    for (route, end) in [
        ("draft", End::Exit),
        ("once", End::Exit),
        ("draft", End::Restart),
        ("once", End::Restart),
    ] {
        run_test(4, |system| async move {
            let runs = Arc::new(AtomicUsize::new(0));
            let counted = Arc::clone(&runs);
            let address = http::serve_unframed(move |_| {
                counted.fetch_add(1, Ordering::Relaxed);
                (events(0, 3), end)
            });
            system
                .move_server(system.first_engine(), "model", address)
                .await;
            // Another engine has the first layers as well, and either is chosen.
            let mut number = 0;
            while runs.load(Ordering::Relaxed) == 0 {
                let response = system.send(route, &format!("a{number}")).await;
                let is_cut = runs.load(Ordering::Relaxed) > 0 && route == "once";
                assert_eq!(
                    response.is_complete, !is_cut,
                    "{route} {end:?}: {response:?}"
                );
                let expected = if is_cut {
                    events(0, 3)
                } else {
                    complete_stream()
                };
                assert_eq!(response.body, expected, "{route} {end:?}");
                number += 1;
            }
        });
    }
}

/// Guards against a part of a stream that passes for all of it because its engine speaks an older version of HTTP.
#[test]
fn a_cut_stream_of_an_older_version_is_incomplete() {
    run_test(2, |system| async move {
        let address = http::serve_kept(|_, attempt| {
            let head = "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 1000\r\nx-response-seal: raw";
            let body = events(0, 3);
            Some(format!("{head}\r\nx-attempt-id: {attempt}\r\n\r\n{body}"))
        });
        system
            .move_server(system.first_engine(), "model", address)
            .await;
        let response = system.send("once", "a1").await;
        assert_eq!(response.body, events(0, 3));
        assert!(!response.is_complete);
    });
}

/// Guards against the part of an answer that passes for all of it because its server crashed within it, also when the server is
/// back before the host looks.
#[test]
fn an_answer_that_ends_with_its_server_is_not_complete() {
    run_test(2, |system| async move {
        let closed = http::serve_unframed(|_| ("done by raw".to_owned(), End::Close));
        system
            .move_server(&system.services[1], "plain", closed)
            .await;
        for (route, end) in [
            ("pay", End::Exit),
            ("read", End::Exit),
            ("pay", End::Restart),
            ("read", End::Restart),
        ] {
            let runs = Arc::new(AtomicUsize::new(0));
            let counted = Arc::clone(&runs);
            let address = http::serve_unframed(move |_| {
                counted.fetch_add(1, Ordering::Relaxed);
                ("done by".to_owned(), end)
            });
            system
                .move_server(&system.services[0], "plain", address)
                .await;
            // Either server is chosen.
            let mut number = 0;
            while runs.load(Ordering::Relaxed) == 0 {
                let response = system.send(route, &format!("{route}{end:?}{number}")).await;
                let is_cut = runs.load(Ordering::Relaxed) > 0 && route == "pay";
                if is_cut {
                    assert_eq!(response.status, 502, "it may have run: {response:?}");
                } else {
                    let answer = (response.status.as_u16(), response.body.as_str());
                    assert_eq!(answer, (200, "done by raw"), "{route} {end:?}");
                }
                number += 1;
            }
        }
    });
}
