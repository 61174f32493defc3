//! Leaves without cutting requests off.

use core::time::Duration;
use std::sync::Arc;

use crate::State;
use crate::registration::Registration;
use crate::state::Stage;

/// Times that callers may keep the directory's answer beyond what it states.
const DIRECTORY_CACHE_FACTOR: u32 = 3;

/// Time before the process is killed at which it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Part of the grace after which no new stream begins: a stream that begins later may outlast it.
const STREAM_GRACE_SHARE: f64 = 0.4;

/// Pause between looks at what is left.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Takes the host off the list, serves until callers have gone elsewhere, and returns when the last request
/// has ended or the grace is nearly over.
pub async fn run(state: &Arc<State>, registration: &Registration) {
    let began = agatemill_runtime::now();
    let settings = state.settings();
    let grace = settings
        .bounds
        .grace
        .to_duration()
        .saturating_sub(KILL_MARGIN);
    let directory_expiry = settings.directory_lifetime.to_duration() * DIRECTORY_CACHE_FACTOR;
    log::info!(active = state.active(); "shutdown: leaving");
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
    log::info!(active = state.active(); "shutdown: ended");
}
