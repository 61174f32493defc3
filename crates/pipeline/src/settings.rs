//! Settings of generations.

use core::time::Duration;

/// Settings of generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a decoding step may take at most.
    pub step_timeout: Duration,
    /// How long a decoding step may always take before its engine is asked whether it is alive.
    pub step_floor: Duration,
    /// Time that a step over a prompt gets on top for each position.
    pub position_time: Duration,
    /// How often a request may move to another chain.
    pub moves: u32,
    /// Upper bound of the wait before the first move; doubles with each further one.
    pub backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step_timeout: Duration::from_secs(2),
            step_floor: Duration::from_millis(250),
            position_time: Duration::from_millis(10),
            moves: 8,
            backoff: Duration::from_millis(10),
        }
    }
}

impl Settings {
    /// Longest time until an engine is asked whether it is alive. Together with two queries of
    /// [`Settings::status_limit`] it stays below the step timeout, so that a frozen engine is told from a
    /// slow one before the step is given up.
    #[must_use]
    pub fn suspicion_limit(&self) -> Duration {
        self.step_timeout / 2
    }

    /// How long a query may take whether an engine is alive.
    #[must_use]
    pub fn status_limit(&self) -> Duration {
        self.step_timeout / 10
    }
}
