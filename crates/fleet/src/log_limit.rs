//! Bounds how often a recurring event is logged.

use core::time::Duration;

/// Minimum interval between log lines of one event.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds how often a recurring event is logged.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimit {
    /// When the event was last logged.
    logged_at: Option<Duration>,
}

impl LogLimit {
    /// Whether to log the event that happens now.
    pub fn admits(&mut self, now: Duration) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now >= at + INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }
}
