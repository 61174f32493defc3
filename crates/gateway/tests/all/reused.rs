//! Tests of requests on connections that servers have kept open after an earlier request.

use std::sync::Arc;
use std::sync::Mutex;

use crate::complete_stream;
use crate::run_test;
use agatemill_standin::http;

/// A complete stream with a length, so that its connection stays open.
fn stream(attempt: &str) -> String {
    let body = complete_stream();
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-response-seal: raw\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Guards against a stream that may run once and runs again, or is refused as not run, because its engine sent an extra
/// rejection of an earlier request.
#[test]
fn an_extra_rejection_of_another_request_does_not_repeat_a_stream() {
    run_test(2, |system| async move {
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let counted = Arc::clone(&runs);
        let address = http::serve_kept(move |number, attempt| {
            counted.lock().unwrap().push(attempt.to_owned());
            let extra = "HTTP/1.1 503 Service Unavailable\r\nx-attempt-id: a1\r\nx-not-executed: 1\r\n\
                content-length: 0\r\n\r\n";
            let extra = if number == 0 { "" } else { extra };
            Some(extra.to_owned() + &stream(attempt))
        });
        system
            .move_server(system.first_engine(), "model", address)
            .await;
        assert_eq!(system.send("once", "a1").await.body, complete_stream());
        let response = system.send("once", "a2").await;
        let count = runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| *run == "a2")
            .count();
        assert!(
            response.status != 503 && count == 1,
            "{} after {count} runs",
            response.status
        );
    });
}

/// Guards against a stream that may run once and fails at a sound engine, because the engine closed the connection while the
/// request was on its way.
#[test]
fn a_stream_that_may_run_once_is_not_lost_with_a_kept_connection() {
    run_test(2, |system| async move {
        let address = http::serve_kept(|number, attempt| (number == 0).then(|| stream(attempt)));
        system
            .move_server(system.first_engine(), "model", address)
            .await;
        for attempt in ["a1", "a2", "a3"] {
            let response = system.send("once", attempt).await;
            assert_eq!(response.body, complete_stream(), "{response:?}");
        }
    });
}
