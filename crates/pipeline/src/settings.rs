//! Settings of generations.

use core::time::Duration;

/// Settings of generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a decoding step may take at most.
    pub step_timeout: Duration,
    /// How long a decoding step may always take before its engine is asked whether it is alive.
    pub min_probe_delay: Duration,
    /// Time that a step over a prompt gets on top for each position.
    pub time_per_position: Duration,
    /// How often a request may move to another chain.
    pub max_moves: u32,
    /// Upper bound of the wait before the first move; doubles with each further one.
    pub base_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step_timeout: Duration::from_secs(2),
            min_probe_delay: Duration::from_millis(250),
            time_per_position: Duration::from_millis(10),
            max_moves: 8,
            base_backoff: Duration::from_millis(10),
        }
    }
}

impl Settings {
    /// Longest time until an engine is asked whether it is alive. Together with two queries of
    /// [`Settings::status_timeout`] it stays below the step timeout, so that a frozen engine is told from a
    /// slow one before the step is given up.
    #[must_use]
    pub fn max_probe_delay(&self) -> Duration {
        self.step_timeout / 2
    }

    /// How long a query may take whether an engine is alive.
    #[must_use]
    pub fn status_timeout(&self) -> Duration {
        self.step_timeout / 10
    }
}
