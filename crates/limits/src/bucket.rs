//! Token bucket that limits a rate.

use core::time::Duration;

use agatemill_core::quantity::Rate;

/// A token bucket: limits the average rate and allows a burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    /// Capacity of the bucket in tokens. Invariant: at least 1.
    burst: f64,
    /// Invariant: between 0 and `burst`.
    tokens: f64,
    updated: Duration,
}

impl Bucket {
    /// Creates a full bucket. The burst equals the tokens of one second, and is at least 1.
    #[must_use]
    pub fn new(rate: Rate, now: Duration) -> Self {
        let burst = rate.per_second().max(1.0);
        Self {
            rate,
            burst,
            tokens: burst,
            updated: now,
        }
    }

    /// Creates an empty bucket.
    #[must_use]
    pub fn empty(rate: Rate, now: Duration) -> Self {
        Self {
            tokens: 0.0,
            ..Self::new(rate, now)
        }
    }

    /// Changes the rate and keeps the tokens, up to the new burst.
    pub fn set_rate(&mut self, rate: Rate, now: Duration) {
        self.refill(now);
        self.rate = rate;
        self.burst = rate.per_second().max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// The time until the next token is available; [`Duration::MAX`] when the rate is 0.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let seconds = (1.0 - self.tokens) / self.rate.per_second();
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.rate.per_second()).min(self.burst);
    }
}
