//! Retry budget.

/// Thousandths of a retry, so that shares add up without rounding.
const WHOLE: u32 = 1_000;

/// Most retries that a budget saves up. Bounds the burst of retries when many requests fail at once.
const MAX_SAVED: u32 = 100 * WHOLE;

/// Retries that a new budget allows before the first success.
const INITIAL: u32 = 10 * WHOLE;

/// Allows retries as a share of successes, so that retries cannot multiply the load of an overloaded
/// group of backend servers.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Thousandths of a retry earned by each success.
    share: u32,
    /// Thousandths of retries. Invariant: at most `MAX_SAVED`.
    saved: u32,
}

impl Budget {
    /// Creates a budget in which each success earns `share` thousandths of a retry.
    #[must_use]
    pub fn new(share: u32) -> Self {
        Self {
            share,
            saved: INITIAL,
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.saved = self.saved.saturating_add(self.share).min(MAX_SAVED);
    }

    /// Takes a retry; false when the budget is used up.
    #[must_use]
    pub fn take(&mut self) -> bool {
        match self.saved.checked_sub(WHOLE) {
            Some(rest) => {
                self.saved = rest;
                true
            }
            None => false,
        }
    }
}
