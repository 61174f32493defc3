//! Tests of hosts that start while the store is slow or its link is full.

use core::time::Duration;

use crate::run_test;
use crate::system::System;
use agatemill_gateway::Process;
use agatemill_standin::Link;

/// Size of an entry that makes a reading of the store long, in bytes.
const ENTRY_BYTES: usize = 200_000;

/// Starts another host whose link to the store carries `bytes_per_s`, and returns it with its address for callers.
async fn start_host(
    system: &System,
    bytes_per_s: usize,
) -> (Process, core::net::SocketAddrV4, Link) {
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
        let time = agatemill_runtime::now() - started;
        assert!(
            time > Duration::from_secs(2),
            "the reading took only {time:?}"
        );
        assert!(link.connections() <= 3, "the reading was repeated");
    });
}
