//! Settings of generations.

use core::time::Duration;

/// Settings of generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout of a decoding step.
    pub step_timeout: Duration,
    /// Minimum time that a decoding step runs before its engine is probed with a status query.
    pub min_probe_delay: Duration,
    /// Extra time for each position of a step over a prompt.
    pub time_per_position: Duration,
    /// Maximum number of times that a request moves to another chain.
    pub max_moves: u32,
    /// Upper bound of the delay before the first move; it doubles with each further move.
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
    /// Maximum time before an engine is probed with a status query. Together with two queries of
    /// [`Settings::status_timeout`] it stays below the step timeout, so that a frozen engine is distinguished
    /// from a slow one before the step times out.
    #[must_use]
    pub fn max_probe_delay(&self) -> Duration {
        self.step_timeout / 2
    }

    /// Timeout of a status query.
    #[must_use]
    pub fn status_timeout(&self) -> Duration {
        self.step_timeout / 10
    }
}
