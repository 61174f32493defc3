//! Retry budget earned by successes.

/// One retry, in thousandths: fixed-point, so that shares add up without rounding.
const RETRY: u32 = 1_000;

/// Maximum balance of a budget. Bounds the burst of retries when many requests fail at once.
const MAX_BALANCE: u32 = 100 * RETRY;

/// Retries that a new budget allows before the first success.
const INITIAL_BALANCE: u32 = 10 * RETRY;

/// Allows retries as a share of successes, so that retries cannot multiply the load of an overloaded
/// group of backend servers.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Thousandths of a retry earned by each success.
    share: u32,
    /// Available retries in thousandths. Invariant: at most `MAX_BALANCE`.
    balance: u32,
}

impl Budget {
    /// Creates a budget in which each success earns `share` thousandths of a retry.
    #[must_use]
    pub fn new(share: u32) -> Self {
        Self {
            share,
            balance: INITIAL_BALANCE,
        }
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        self.balance = self.balance.saturating_add(self.share).min(MAX_BALANCE);
    }

    /// Takes a retry; returns false when the budget is exhausted.
    #[must_use]
    pub fn take(&mut self) -> bool {
        match self.balance.checked_sub(RETRY) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
