//! Tests of hosts that start while the store is slow or its link is full.

use core::net::SocketAddrV4;
use core::time::Duration;

use hyper::StatusCode;

use crate::complete_stream;
use crate::run_test;
use crate::system::Response;
use crate::system::System;
use agatemill_gateway::Process;
use agatemill_standin::Link;
use agatemill_standin::caller::Call;
use agatemill_standin::store::Fault;

/// Size of an entry that makes a reading of the store long, in bytes.
const ENTRY_BYTES: usize = 200_000;

/// Starts another host whose link to the store carries `bytes_per_s`, and returns it with its address for callers.
async fn start_host(system: &System, bytes_per_s: usize) -> (Process, SocketAddrV4, Link) {
    let link = Link::open(system.store_address, bytes_per_s);
    let settings = crate::system::settings("h2", link.address);
    let callers = settings.callers;
    (Process::start(settings).await.unwrap(), callers, link)
}

fn fill_store(system: &System) {
    system.store.put("zz/filler", &"x".repeat(ENTRY_BYTES));
}

/// Guards against hosts that start together and never read the store, because each gives up its reading when the link of the
/// store is shared by all, and starts again.
#[test]
fn a_reading_that_takes_longer_than_the_timeout_of_a_call_is_completed() {
    run_test(2, |system| async move {
        fill_store(&system);
        let (process, _, link) = start_host(&system, 100_000).await;
        let started = agatemill_runtime::now();
        system
            .wait_until("the host is ready", || process.state().is_ready())
            .await;
        let time = agatemill_runtime::now().saturating_sub(started);
        assert!(
            time > Duration::from_secs(2),
            "the reading took only {time:?}"
        );
        assert!(link.connections() <= 3, "the reading was repeated");
    });
}

async fn send(system: &System, host: SocketAddrV4, attempt: &str) -> Response {
    let call = system.call("draft", attempt);
    system.send_call(Call { host, ..call }).await
}

/// Guards against a request whose caller has no further repeat and that is refused, although the host that has just started
/// serves a moment later.
#[test]
fn a_request_that_arrives_during_the_first_reading_is_served() {
    run_test(2, |system| async move {
        fill_store(&system);
        let (process, callers, _link) = start_host(&system, 400_000).await;
        assert!(!process.state().is_ready());
        let response = send(&system, callers, "early").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, complete_stream());
        assert_eq!(system.run_count("early"), 1);
    });
}

/// Guards against requests that wait for a reading that takes too long, and for a store that is known to have failed.
#[test]
fn a_request_that_cannot_be_served_soon_is_refused() {
    run_test(2, |system| async move {
        system.store.set_fault(Fault::Silent);
        let settings = crate::system::settings("h2", system.store_address);
        let callers = settings.callers;
        let process = Process::start(settings).await.unwrap();
        let started = agatemill_runtime::now();
        let response = send(&system, callers, "long").await;
        let time = agatemill_runtime::now().saturating_sub(started);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        assert!(time < Duration::from_secs(3), "it waited for {time:?}");
        system.store.set_fault(Fault::Busy);
        agatemill_runtime::sleep(Duration::from_secs(2)).await;
        let started = agatemill_runtime::now();
        let response = send(&system, callers, "failed").await;
        let time = agatemill_runtime::now().saturating_sub(started);
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(time < Duration::from_secs(1), "it waited for {time:?}");
        assert!(!process.state().is_ready());
        assert_eq!(system.run_count("long") + system.run_count("failed"), 0);
    });
}

/// Guards against a request that waits for the first view of its host and is cut off without an answer by a planned stop.
#[test]
fn a_request_that_waits_during_a_planned_stop_is_answered() {
    run_test(2, |system| async move {
        fill_store(&system);
        let (process, callers, _link) = start_host(&system, 300_000).await;
        let stop = async {
            agatemill_runtime::sleep(Duration::from_millis(100)).await;
            assert!(!process.state().is_ready());
            process.close().await;
        };
        let (response, ()) = futures::join!(send(&system, callers, "waiting"), stop);
        assert!(response.is_complete);
        match response.status {
            StatusCode::OK => assert_eq!(response.body, complete_stream()),
            status => {
                assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
                assert!(response.headers.contains_key("retry-after"));
                assert_eq!(system.run_count("waiting"), 0);
            }
        }
    });
}
