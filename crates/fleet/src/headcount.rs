//! Number of hosts among which limits of the whole fleet are divided.

use core::time::Duration;

/// Time for which a host that is no longer listed still counts, at least; at most twice as long. A store that
/// turns hosts away removes their entries while they go on serving.
const MEMORY: Duration = Duration::from_mins(2);

/// The largest number of hosts that this host has recently known to serve.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headcount {
    /// When hosts were known first; `None` before.
    since: Option<Duration>,
    /// Start of the current period, which lasts for [`MEMORY`].
    period_start: Duration,
    /// Largest number in the current period.
    current: usize,
    /// Largest number in the period before.
    previous: usize,
    /// Number recorded last.
    latest: usize,
}

impl Headcount {
    /// Records the number of hosts that are listed now.
    pub fn record(&mut self, hosts: usize, now: Duration) {
        if hosts > 0 {
            self.since.get_or_insert(now);
        }
        let age = now.saturating_sub(self.period_start);
        if age >= MEMORY {
            // The number recorded last was valid until now.
            self.previous = if age < MEMORY * 2 {
                self.current
            } else {
                self.latest
            };
            self.current = self.latest;
            self.period_start = now;
        }
        self.current = self.current.max(hosts);
        self.latest = hosts;
    }

    /// The largest recent number of hosts, at least 1.
    #[must_use]
    pub fn largest(&self) -> usize {
        self.current.max(self.previous).max(1)
    }

    /// When hosts were known first; `None` if none is known yet.
    #[must_use]
    pub fn since(&self) -> Option<Duration> {
        self.since
    }
}
