//! Period during which this process may act as the planner.

use core::time::Duration;

use agatemill_core::number::Fence;

/// Time after which the planner's lease expires at the platform unless it is renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// Timeout of an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a term, from the start of the last renewal. An order sent at the very end of a term has ended 2 s
/// before the lease can expire, which allows for clocks that run at different rates.
pub const TERM_LENGTH: Duration = Duration::from_secs(6);

const _: () = assert!(TERM_LENGTH.as_secs() + ORDER_TIMEOUT.as_secs() < LEASE_TTL.as_secs());

/// Period during which this process may act as the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Fencing number of the orders in this term.
    pub fence: Fence,
    /// Time at which the lease was acquired.
    acquired: Duration,
    /// Time at which the last successful renewal was sent. The platform cannot have received it earlier, so the
    /// lease lasts at least [`LEASE_TTL`] from then on.
    renewed: Duration,
}

impl Term {
    /// Starts a term whose lease was requested at `requested` and acquired at `acquired`.
    #[must_use]
    pub fn new(fence: Fence, requested: Duration, acquired: Duration) -> Self {
        Self {
            fence,
            acquired,
            renewed: requested,
        }
    }

    /// Records a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration) {
        self.renewed = self.renewed.max(sent);
    }

    /// Whether the term has not ended.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed) < TERM_LENGTH
    }

    /// Whether an order may be sent now. An engine that ignores fencing numbers receives none until every order of
    /// the previous term must have ended.
    #[must_use]
    pub fn may_order(&self, now: Duration, fencing: bool) -> bool {
        let waited = now.saturating_sub(self.acquired) >= LEASE_TTL + ORDER_TIMEOUT;
        self.is_active(now) && (fencing || waited)
    }
}
