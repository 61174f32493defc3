//! Smallest rate of a body.

use core::time::Duration;

/// Time within which a number of bytes has to arrive. A caller that sends its body at once never comes near it, also over a slow
/// link.
pub const PERIOD: Duration = Duration::from_secs(5);

/// Bytes that have to arrive in each period, unless the body ends.
pub const PERIOD_BYTES: usize = 40 << 10;

/// Time for which the next bytes are awaited before the pace is checked. A longer wait counts as this much: it also arises when
/// the process does not run, and says nothing about the caller.
pub const MAX_WAIT: Duration = Duration::from_secs(1);

/// Progress of a body in the current period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    waited: Duration,
    received: usize,
}

impl Pace {
    /// Records the bytes that a wait has brought.
    pub fn record(&mut self, waited: Duration, bytes: usize) {
        self.waited += waited.min(MAX_WAIT);
        self.received += bytes;
        if self.received >= PERIOD_BYTES {
            *self = Self::default();
        }
    }

    /// Whether too few bytes have arrived.
    #[must_use]
    pub fn is_too_slow(&self) -> bool {
        self.waited >= PERIOD
    }
}
