//! Graceful shutdown.

pub mod schedule;

use core::time::Duration;
use std::sync::Arc;

use crate::State;
use crate::registration::Registration;
use crate::state::Stage;

pub use schedule::Schedule;

/// Multiple of the directory's stated lifetime for which callers may cache its response.
const DIRECTORY_CACHE_FACTOR: u32 = 3;

/// Interval between checks for remaining requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for open connections, most of which are closed at once.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Deregisters the host and keeps serving until callers have moved to other hosts. Returns when the last response
/// is written or the grace period, which began at `signalled`, is almost over.
pub async fn run(state: &Arc<State>, registration: &Registration, signalled: Duration) {
    let settings = state.settings();
    let schedule = Schedule::new(signalled, settings.bounds.grace.to_duration());
    let started = agatemill_runtime::now();
    let delay = started.saturating_sub(signalled);
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    log::info!(active = state.active(), delay_ms; "shutdown: draining requests");
    state.leave(schedule);
    // The store may not respond for longer than the grace period.
    let deregister = Box::pin(registration.close(state));
    let until_ending = schedule.ending.saturating_sub(started);
    let deregistered = agatemill_runtime::timeout(until_ending, deregister).await;
    if deregistered.is_none() {
        log::warn!("shutdown: the store does not respond");
    }
    let directory_expiry =
        started + settings.directory_lifetime.to_duration() * DIRECTORY_CACHE_FACTOR;
    loop {
        let now = agatemill_runtime::now();
        let is_idle = state.active() == 0 && now >= directory_expiry;
        if is_idle || now >= schedule.ending {
            break;
        }
        agatemill_runtime::sleep(POLL_INTERVAL.min(schedule.ending.saturating_sub(now))).await;
    }
    log::info!(active = state.active(), connections = state.connections(); "shutdown: closing connections");
    state.set_stage(Stage::Ending);
    while state.connections() > 0 && agatemill_runtime::now() < schedule.exit {
        agatemill_runtime::sleep(CLOSE_POLL_INTERVAL).await;
    }
    log::info!(active = state.active(), connections = state.connections(); "shutdown: drain ended");
}
