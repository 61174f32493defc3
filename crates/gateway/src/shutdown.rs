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

/// Interval between checks for remaining requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Deregisters the host and keeps serving until callers have moved to other hosts. Returns when the last request
/// has ended or the grace period is almost over.
pub async fn run(state: &Arc<State>, registration: &Registration) {
    let began = agatemill_runtime::now();
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
        let past = agatemill_runtime::now().saturating_sub(began);
        if past >= grace.mul_f64(STREAM_GRACE_SHARE) && state.stage() == Stage::Leaving {
            state.set_stage(Stage::Closing);
        }
        let is_idle = state.active() == 0 && past >= directory_expiry;
        if is_idle || past >= grace {
            break;
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
    log::info!(active = state.active(); "shutdown: drain ended");
}
