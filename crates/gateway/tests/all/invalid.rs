//! Responses that are none in the protocol: their status line cannot be read, or their status is no final one (200 to 599).

use core::time::Duration;

use crate::complete_stream;
use crate::run_test;
use crate::system::Response;
use crate::system::System;
use agatemill_standin::Raw;
use agatemill_standin::Script;
use agatemill_standin::caller::Call;
use agatemill_standin::store::Fault;

/// Status lines that begin no response.
const LINES: [&str; 21] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 001 None",
    "HTTP/1.1 099 None",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 Other",
    "HTTP/1.1 601 Other",
    "HTTP/1.1 700 Other",
    "HTTP/1.1 999 Other",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 2e2 OK",
    "HTTP/1.1  OK",
    "HTTP/1.1",
    "HTTP/1.0 600 Other",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "ICY 200 OK",
    "done by raw",
];

/// Statuses of interim responses, which a final one has to follow.
const INTERIM: [&str; 4] = ["100", "102", "103", "199"];

/// Fields and bodies of such responses, from none to all that a sound response has.
const RESTS: [&str; 6] = [
    "\r\n\r\n",
    "\r\ncontent-length: 0\r\n\r\n",
    "\r\nx-attempt-id: ATTEMPT\r\nx-response-seal: raw\r\ncontent-length: 0\r\n\r\n",
    "\r\nx-attempt-id: ATTEMPT\r\nx-response-seal: raw\r\ncontent-length: 11\r\n\r\ndone by raw",
    "\r\nx-attempt-id: ATTEMPT\r\nx-response-seal: raw\r\ntransfer-encoding: chunked\r\n\r\nb\r\ndone by raw\r\n0\r\n\r\n",
    "\r\nx-attempt-id: ATTEMPT\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
];

/// Responses with these fields and this body, on connections that stay open, and interim responses on connections that the
/// server closes.
fn scripts_with(rest: &str) -> Vec<Script> {
    let lines = LINES.into_iter();
    let lines = lines.map(|line| Script {
        bytes: format!("{line}{rest}"),
        ..Script::default()
    });
    let interim = INTERIM.into_iter();
    let interim = interim.map(|status| Script {
        bytes: format!("HTTP/1.1 {status} Interim{rest}"),
        closes: true,
        includes_reports: false,
    });
    lines.chain(interim).collect()
}

/// All of them.
fn scripts() -> Vec<Script> {
    RESTS.into_iter().flat_map(scripts_with).collect()
}

/// Some of them, for streams: an engine is avoided for up to 1.2 s after each.
fn few_scripts() -> Vec<Script> {
    let lines = LINES.into_iter().step_by(3);
    let lines = lines.map(|line| format!("{line}{}", RESTS[3]));
    let rests = RESTS.into_iter().skip(4);
    let rests = rests.map(|rest| format!("HTTP/1.1 600 Other{rest}"));
    let interim = Script {
        bytes: format!("HTTP/1.1 199 Interim{}", RESTS[0]),
        closes: true,
        includes_reports: false,
    };
    let script = |bytes| Script {
        bytes,
        ..Script::default()
    };
    let open = lines.chain(rests).map(script);
    open.chain(core::iter::once(interim)).collect()
}

/// The value of the counter of dropped responses, over all reasons.
async fn dropped(system: &System) -> u64 {
    let uri = format!("http://{}/", system.process.state().settings().metrics);
    let (_, text) = system.get(&uri).await;
    let lines = text
        .lines()
        .filter(|line| line.starts_with("agatemill_dropped_answers_total"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}

async fn wait_until_closed(system: &System, raw: &Raw, script: &Script) {
    let what = format!("the connection is closed after {script:?}");
    system.wait_until(&what, || raw.open() == 0).await;
    assert_eq!(
        raw.reuses(),
        0,
        "a connection was used again after {script:?}"
    );
}

/// Checks that a response is a refusal of the host that leaves the outcome unknown.
fn assert_failed(response: &Response, script: &Script) {
    assert_eq!(response.status, 502, "{script:?}: {response:?}");
    assert!(
        !response.headers.contains_key("x-response-seal"),
        "{script:?}: {response:?}"
    );
}

/// Guards against calls that may run once and get bytes that are no response, are told that they did not run, or are sent
/// again.
#[test]
fn a_call_that_may_run_once_gets_none_of_them() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        system
            .move_server(&system.services[0], "plain", raw.address)
            .await;
        let before = dropped(&system).await;
        let scripts = scripts();
        for (number, script) in scripts.iter().enumerate() {
            raw.set_script(script.clone());
            let attempt = format!("p{number}");
            let response = system.send("pay", &attempt).await;
            assert_failed(&response, script);
            assert_eq!(raw.run_count(&attempt), 1, "{script:?}");
            wait_until_closed(&system, &raw, script).await;
        }
        let counted = usize::try_from(dropped(&system).await - before).unwrap();
        assert_eq!(counted, scripts.len(), "each is counted once");
    });
}

/// Guards against calls that may be repeated and are not, or get bytes that are no response, and against the reuse of
/// pooled connections that carried them.
#[test]
fn a_call_that_may_be_repeated_is_sent_to_another_server() {
    // The free retries of a host that has just started suffice for each of the rests alone.
    for rest in RESTS {
        run_test(2, |system| async move {
            let raw = Raw::listen();
            system
                .move_server(&system.services[0], "plain", raw.address)
                .await;
            let mut number = 0;
            for script in scripts_with(rest) {
                raw.set_script(script.clone());
                let before = raw.requests();
                while raw.requests() == before {
                    number += 1;
                    let response = system.send("read", &format!("r{number}")).await;
                    let answer = (response.status.as_u16(), response.body.as_str());
                    assert_eq!(answer, (200, "done by s1"), "{script:?}");
                }
                assert_eq!(raw.requests(), before + 1, "{script:?}");
                wait_until_closed(&system, &raw, &script).await;
            }
        });
    }
}

/// Guards against streams that may run once and get bytes that are no response, are told that they did not run, or are sent
/// again.
#[test]
fn a_stream_that_may_run_once_gets_none_of_them() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        let engine = system.first_engine();
        system.move_server(engine, "model", raw.address).await;
        let mut number = 0;
        for script in few_scripts() {
            raw.set_script(script.clone());
            let before = raw.requests();
            // The engine is avoided after the last one, and the only one with the first layers.
            while raw.requests() == before {
                number += 1;
                let attempt = format!("o{number}");
                let response = system.send("once", &attempt).await;
                match raw.run_count(&attempt) {
                    0 => assert_eq!(response.status, 503, "{script:?}: {response:?}"),
                    count => {
                        assert_eq!(count, 1, "{script:?}");
                        assert_failed(&response, &script);
                    }
                }
            }
            wait_until_closed(&system, &raw, &script).await;
        }
    });
}

/// Guards against streams that may run again and do not, or get bytes that are no response.
#[test]
fn a_stream_that_may_be_repeated_is_sent_to_another_engine() {
    run_test(4, |system| async move {
        let raw = Raw::listen();
        let engine = system.first_engine();
        system.move_server(engine, "model", raw.address).await;
        let mut number = 0;
        for script in few_scripts() {
            raw.set_script(script.clone());
            let before = raw.requests();
            // Another engine has the first layers as well, and either is chosen.
            while raw.requests() == before {
                number += 1;
                let response = system.send("draft", &format!("d{number}")).await;
                assert_eq!(response.body, complete_stream(), "{script:?}");
                assert!(response.is_complete, "{script:?}");
            }
            assert_eq!(raw.requests(), before + 1, "{script:?}");
            wait_until_closed(&system, &raw, &script).await;
        }
    });
}

/// Guards against requests that wait for their deadline, and are not sent elsewhere, while a server sends interim responses
/// without end.
#[test]
fn endless_interim_responses_end_the_request_early() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        system
            .move_server(&system.services[0], "plain", raw.address)
            .await;
        system
            .move_server(system.first_engine(), "model", raw.address)
            .await;
        for status in INTERIM {
            let script = Script {
                bytes: format!("HTTP/1.1 {status} Interim\r\n\r\n").repeat(1_000),
                ..Script::default()
            };
            raw.set_script(script.clone());
            for route in ["pay", "once"] {
                let mut number = 0;
                // An engine is avoided after the last one.
                let attempt = loop {
                    let attempt = format!("{route}-{status}-{number}");
                    let response = system.send(route, &attempt).await;
                    if raw.run_count(&attempt) > 0 {
                        assert_failed(&response, &script);
                        break attempt;
                    }
                    assert_eq!(response.status, 503, "{script:?}: {response:?}");
                    number += 1;
                };
                assert_eq!(raw.run_count(&attempt), 1, "{script:?}");
                wait_until_closed(&system, &raw, &script).await;
            }
        }
    });
}

/// Guards against sound responses that are lost because interim ones come first.
#[test]
fn a_response_after_interim_responses_is_passed_on() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        system
            .move_server(&system.services[0], "plain", raw.address)
            .await;
        let interim = INTERIM.map(|status| format!("HTTP/1.1 {status} Interim\r\n\r\n"));
        let mut bytes = interim.concat();
        bytes += "HTTP/1.1 200 OK";
        bytes += RESTS[3];
        raw.set_script(Script {
            bytes,
            ..Script::default()
        });
        for route in ["pay", "read"] {
            let response = system.send(route, route).await;
            let answer = (response.status.as_u16(), response.body.as_str());
            assert_eq!(answer, (200, "done by raw"), "{response:?}");
        }
    });
}

/// Guards against an interim response without a final one that is passed on as a response, or taken for the statement that
/// the request did not run.
#[test]
fn an_interim_response_alone_leaves_the_outcome_unknown() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        system
            .move_server(&system.services[0], "plain", raw.address)
            .await;
        for status in INTERIM {
            raw.set_script(Script {
                bytes: format!("HTTP/1.1 {status} Interim\r\nx-attempt-id: ATTEMPT\r\nx-not-executed: 1\r\n\r\n"),
                ..Script::default()
            });
            let call = Call {
                deadline: Duration::from_millis(600),
                ..system.call("pay", status)
            };
            let response = system.send_call(call).await;
            assert!(
                [502, 504].contains(&response.status.as_u16()),
                "{response:?}"
            );
            assert_eq!(raw.run_count(status), 1);
        }
    });
}

/// Guards against an unusual final status that is not passed on.
#[test]
fn all_final_statuses_are_passed_on() {
    run_test(2, |system| async move {
        let raw = Raw::listen();
        system.store.remove("servers/s1");
        system
            .move_server(&system.services[0], "plain", raw.address)
            .await;
        for status in [200, 226, 299, 300, 399, 400, 418, 499, 500, 504, 599] {
            let bytes = format!("HTTP/1.1 {status} Some{}", RESTS[3]);
            raw.set_script(Script {
                bytes,
                ..Script::default()
            });
            let response = system.send("pay", &format!("p{status}")).await;
            let answer = (response.status.as_u16(), response.body.as_str());
            assert_eq!(answer, (status, "done by raw"), "{response:?}");
        }
    });
}

/// Guards against a host that loses its view, or does not come back, because the store sends what is no response.
#[test]
fn a_store_whose_answers_are_none_counts_as_failed() {
    run_test(2, |system| async move {
        let before = dropped(&system).await;
        for status in [600, 999] {
            system.store.set_fault(Fault::Status(status));
            agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
            assert_eq!(system.send("open", &format!("o{status}")).await.status, 200);
            system.store.set_fault(Fault::None);
            let state = system.process.state();
            system
                .wait_until("the view is recent", || state.is_fresh())
                .await;
            system
                .wait_until("the host leads", || {
                    system.store.value("agatemill/planner").is_some()
                })
                .await;
        }
        assert!(dropped(&system).await > before, "they are counted");
    });
}
