//! Graceful shutdown.

use core::time::Duration;

use smol::Task;

use crate::state::State;

/// How often the wait for background writes looks again.
const INTERVAL: Duration = Duration::from_millis(10);

/// Leaves, waits until callers have forgotten the address, ends connections after their current answer and
/// waits for all work. Returns whether everything ended within the drain limit.
pub async fn run(state: &State, server: Task<()>) -> bool {
    let limit = state.settings.drain_limit.to_duration();
    let started = agatemill_runtime::now();
    state.progress.start_drain();
    log::info!(in_flight = state.progress.in_flight(); "entry: draining");
    let whole = agatemill_runtime::timeout(limit, finish(state, server)).await;
    state.progress.stop();
    let seconds = agatemill_runtime::now()
        .saturating_sub(started)
        .as_secs_f64();
    if whole.is_some() {
        log::info!(seconds; "entry: stopped");
    } else {
        let in_flight = state.progress.in_flight();
        log::error!(seconds, in_flight; "entry: stopped at the drain limit with work in progress");
    }
    whole.is_some()
}

async fn finish(state: &State, server: Task<()>) {
    agatemill_runtime::sleep(address_lifetime(state)).await;
    state.progress.close_connections();
    // Accepts what the operating system has already taken, then closes the listener.
    server.await;
    state.progress.wait_until_idle().await;
    while state
        .ledger
        .as_ref()
        .is_some_and(|ledger| ledger.background() > 0)
    {
        agatemill_runtime::sleep(INTERVAL).await;
    }
}

/// How long callers may keep the address of this host; zero before the first configuration, when no caller
/// has been given it.
fn address_lifetime(state: &State) -> Duration {
    state
        .configuration_store
        .current()
        .map_or(Duration::ZERO, |current| {
            current.document.settings.address_lifetime.to_duration()
        })
}
