//! Settings of generations.

use core::time::Duration;

/// Settings of generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a decoding step may take at most.
    pub step_timeout: Duration,
    /// How long a decoding step may always take, however fast its engine was before.
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
            // 250 ms took engines with full batches for lost ones and ran their work again elsewhere.
            step_floor: Duration::from_secs(1),
            position_time: Duration::from_millis(10),
            moves: 8,
            backoff: Duration::from_millis(10),
        }
    }
}
