//! Age of the view of the platform.

use core::time::Duration;

/// Age of the view of the platform.
///
/// Times come from a clock that also runs while the machine is suspended; a clock that stops during a suspension
/// would hide that keys were revoked in the meantime.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Start of the most recent call whose response brought the view up to date.
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Records that a call started at `started` brought the view up to date.
    pub fn confirm(&mut self, started: Duration) {
        self.confirmed = self.confirmed.max(Some(started));
    }

    /// Time since the view was last known to be up to date; `None` before the first confirmation.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed?))
    }

    /// Whether the view is at most `limit` old.
    #[must_use]
    pub fn is_within(&self, limit: Duration, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
