//! Graceful shutdown.

use core::time::Duration;

use smol::Task;

use crate::state::State;

/// Polling interval of the wait for background writes of the ledger.
const LEDGER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the drain, waits until the address has expired at callers, closes connections after their current
/// response and waits for all operations. Returns whether all of this ended within the drain limit.
pub async fn run(state: &State, server: Task<()>) -> bool {
    let limit = state.settings.drain_limit.to_duration();
    let started = agatemill_runtime::now();
    state.progress.start_drain();
    log::info!(in_flight = state.progress.in_flight(); "entry: draining");
    let result = agatemill_runtime::timeout(limit, finish(state, server)).await;
    state.progress.stop();
    let seconds = agatemill_runtime::now()
        .saturating_sub(started)
        .as_secs_f64();
    if result.is_some() {
        log::info!(seconds; "entry: stopped");
    } else {
        let in_flight = state.progress.in_flight();
        log::error!(seconds, in_flight; "entry: stopped at the drain limit with operations in progress");
    }
    result.is_some()
}

async fn finish(state: &State, server: Task<()>) {
    agatemill_runtime::sleep(address_lifetime(state)).await;
    state.progress.close_connections();
    // Accepts the connections in the backlog, then closes the listener.
    server.await;
    state.progress.wait_until_idle().await;
    while state
        .ledger
        .as_ref()
        .is_some_and(|ledger| ledger.background() > 0)
    {
        agatemill_runtime::sleep(LEDGER_POLL_INTERVAL).await;
    }
}

/// How long callers may cache the address of this host; zero before the first configuration, when no caller has
/// received the address.
fn address_lifetime(state: &State) -> Duration {
    state
        .configuration_store
        .current()
        .map_or(Duration::ZERO, |current| {
            current.document.settings.address_lifetime.to_duration()
        })
}
