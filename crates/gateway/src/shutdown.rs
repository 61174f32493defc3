//! Graceful shutdown.

use core::time::Duration;
use std::sync::Arc;

use crate::State;
use crate::registration::Registration;
use crate::state::Stage;

/// Multiple of the directory's stated lifetime for which callers may cache its response.
const DIRECTORY_CACHE_FACTOR: u32 = 3;

/// Time before the kill at which the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Share of the grace period after which no new streams start: a later one might not end in time.
const STREAM_GRACE_SHARE: f64 = 0.4;

/// Time before the exit at which requests that still run are answered.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Interval between checks for remaining requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for open connections, most of which are closed at once.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Deregisters the host and keeps serving until callers have moved to other hosts. Returns when the last response
/// is written or the grace period is almost over.
pub async fn run(state: &Arc<State>, registration: &Registration) {
    let began = agatemill_runtime::now();
    let past = || agatemill_runtime::now().saturating_sub(began);
    let settings = state.settings();
    let grace = settings
        .bounds
        .grace
        .to_duration()
        .saturating_sub(KILL_MARGIN);
    let directory_expiry = settings.directory_lifetime.to_duration() * DIRECTORY_CACHE_FACTOR;
    log::info!(active = state.active(); "shutdown: draining requests");
    state.set_stage(Stage::Leaving);
    registration.close(state).await;
    loop {
        let is_idle = state.active() == 0 && past() >= directory_expiry;
        if is_idle || past() >= grace.saturating_sub(ANSWER_TIME) {
            break;
        }
        if past() >= grace.mul_f64(STREAM_GRACE_SHARE) && state.stage() == Stage::Leaving {
            state.set_stage(Stage::Closing);
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
    log::info!(active = state.active(), connections = state.connections(); "shutdown: closing connections");
    state.set_stage(Stage::Ending);
    while state.connections() > 0 && past() < grace {
        agatemill_runtime::sleep(CLOSE_POLL_INTERVAL).await;
    }
    log::info!(active = state.active(), connections = state.connections(); "shutdown: drain ended");
}
