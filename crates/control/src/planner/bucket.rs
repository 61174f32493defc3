//! Token bucket that limits loads from the weight store.

use core::time::Duration;

use agatemill_core::quantity::Rate;

/// Token bucket that limits loads from the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    at: Duration,
}

impl Bucket {
    /// Creates an empty bucket, because the planner of the previous term may have just used its tokens.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Takes a token if one is available. The bucket fills at `rate` and has a capacity of the tokens of one second,
    /// at least 1.
    pub fn try_take(&mut self, now: Duration, rate: Rate) -> bool {
        let filled = now.saturating_sub(self.at).as_secs_f64() * rate.per_second();
        self.tokens = (self.tokens + filled).min(rate.per_second().max(1.0));
        self.at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
