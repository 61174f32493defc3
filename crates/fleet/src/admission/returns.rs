//! Times at which refused callers may return.

use core::time::Duration;
use std::collections::BTreeMap;

use agatemill_core::Urgency;

/// Earliest return: the time until news of freed memory reaches all hosts.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Times at which the callers that this host refused may return.
///
/// Callers that return together meet the same wall again, so each gets a time of its own, and one that is more urgent an earlier one.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Earliest time of the next return by urgency.
    next: BTreeMap<Urgency, Duration>,
}

impl Returns {
    /// Promises a return: not before room is `expected`, `spacing` after the return that was promised last to a caller at least as
    /// urgent, and at most `latest` from now. Returns the time from now.
    pub fn promise(
        &mut self,
        urgency: Urgency,
        expected: Option<Duration>,
        spacing: Duration,
        latest: Duration,
        now: Duration,
    ) -> Duration {
        let expected = expected.unwrap_or(latest).max(MIN_WAIT).min(latest);
        let promised = self.next.range(..=urgency).map(|(_, next)| *next).max();
        let at = promised
            .unwrap_or_default()
            .max(now + expected)
            .min(now + latest);
        self.next.insert(urgency, at + spacing);
        at.saturating_sub(now)
    }
}
