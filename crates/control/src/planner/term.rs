//! The time for which this process may act as the planner.

use core::time::Duration;

use agatemill_core::number::Fence;

/// Time after which the planner's lease lapses at the platform unless it is renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(10);

/// How long an order may take.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a term lasts after the start of the last renewal. An order sent at its very end is over 2 s
/// before the lease can lapse, which leaves room for clocks that run at different rates.
pub const TERM_LENGTH: Duration = Duration::from_secs(6);

const _: () = assert!(TERM_LENGTH.as_secs() + ORDER_TIMEOUT.as_secs() < LEASE_TTL.as_secs());

/// The time for which this process may act as the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Fencing number of the orders of this term.
    pub fence: Fence,
    /// When the lease was gained.
    gained: Duration,
    /// When the last successful renewal was sent. The platform cannot have received it earlier, so the
    /// lease lasts at least [`LEASE_TTL`] from then on.
    renewed: Duration,
}

impl Term {
    /// Starts a term whose lease was asked for at `asked` and gained at `gained`.
    #[must_use]
    pub fn new(fence: Fence, asked: Duration, gained: Duration) -> Self {
        Self {
            fence,
            gained,
            renewed: asked,
        }
    }

    /// Notes a successful renewal that was sent at `sent`.
    pub fn renew(&mut self, sent: Duration) {
        self.renewed = self.renewed.max(sent);
    }

    /// Whether the term still lasts.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewed) < TERM_LENGTH
    }

    /// Whether an order may be sent now. An engine that ignores fencing numbers gets none before every
    /// order of the term before must have ended.
    #[must_use]
    pub fn may_order(&self, now: Duration, fencing: bool) -> bool {
        let waited = now.saturating_sub(self.gained) >= LEASE_TTL + ORDER_TIMEOUT;
        self.is_active(now) && (fencing || waited)
    }
}
