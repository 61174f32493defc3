//! Answers of services that break off.

use crate::run_test;
use agatemill_standin::Raw;
use agatemill_standin::Script;

/// The fields of a sound answer, after which the length or the encoding follows.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: ATTEMPT\r\nx-response-seal: raw\r\n";

/// Answers that lack their end, by the place at which they break off.
fn cut_answers() -> Vec<(&'static str, String)> {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    vec![
        ("nothing", String::new()),
        ("in the status line", "HTTP/1.1 20".to_owned()),
        ("after the status line", "HTTP/1.1 200 OK\r\n".to_owned()),
        ("in the head", HEAD.to_owned()),
        (
            "before the end of the head",
            format!("{HEAD}content-length: 4\r\n"),
        ),
        ("after the head", format!("{HEAD}content-length: 4\r\n\r\n")),
        ("in the body", format!("{HEAD}content-length: 4\r\n\r\ndon")),
        ("before the chunks", chunked.clone()),
        ("in the size of a chunk", format!("{chunked}1")),
        ("in an extension of a chunk", format!("{chunked}4;name")),
        ("in a chunk", format!("{chunked}4\r\ndon")),
        ("after the bytes of a chunk", format!("{chunked}4\r\ndone")),
        ("between chunks", format!("{chunked}4\r\ndone\r\n")),
        ("in the last chunk", format!("{chunked}4\r\ndone\r\n0")),
        (
            "before the trailers",
            format!("{chunked}4\r\ndone\r\n0\r\n"),
        ),
        (
            "in a trailer",
            format!("{chunked}4\r\ndone\r\n0\r\nfield: va"),
        ),
        (
            "after a trailer",
            format!("{chunked}4\r\ndone\r\n0\r\nfield: value\r\n"),
        ),
    ]
}

/// Guards against a part of an answer that passes for all of it, and against calls that are sent again although they may run
/// once, or are not although they may be repeated.
#[test]
fn a_cut_answer_is_not_passed_on() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        let server = &system.services[0];
        system.move_server(server, "plain", raw.address).await;
        let mut number = 0;
        for (place, bytes) in cut_answers() {
            raw.set_script(Script {
                bytes,
                closes: true,
                includes_reports: false,
            });
            for route in ["read", "pay"] {
                let before = raw.requests();
                // Either server is chosen.
                while raw.requests() == before {
                    number += 1;
                    let attempt = format!("{route}{number}");
                    let response = system.send(route, &attempt).await;
                    let is_cut = route == "pay" && raw.run_count(&attempt) > 0;
                    let status = if is_cut { 502 } else { 200 };
                    assert_eq!(response.status, status, "{route}, {place}: {response:?}");
                    let is_other = response.body == "done by s1";
                    assert_eq!(is_other, !is_cut, "{route}, {place}: {response:?}");
                }
                assert_eq!(raw.requests(), before + 1, "{route}, {place}");
            }
        }
    });
}

/// Guards against the second copy of an answer without a body that passes for the answer to the next call on its connection.
#[test]
fn a_second_copy_of_an_answer_is_not_that_of_the_next_call() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        let server = &system.services[0];
        system.move_server(server, "plain", raw.address).await;
        for status in [200, 204, 304] {
            let fields =
                "x-attempt-id: ATTEMPT\r\nx-response-seal: raw\r\ncontent-length: 0\r\n\r\n";
            raw.set_script(Script {
                bytes: format!("HTTP/1.1 {status} Some\r\n{fields}").repeat(2),
                ..Script::default()
            });
            for number in 0..10 {
                let attempt = format!("r{status}-{number}");
                let response = system.send("read", &attempt).await;
                assert_eq!(response.status, status, "{response:?}");
                assert_eq!(response.headers["x-attempt-id"], attempt.as_str());
                assert_eq!(raw.run_count(&attempt), 1, "{attempt}");
            }
        }
        assert_eq!(
            raw.reuses(),
            0,
            "a connection with more bytes was used again"
        );
    });
}
