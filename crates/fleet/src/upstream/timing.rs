//! Times of the calls through which a host learns of changes.

use core::time::Duration;

/// Shares of the bound on the propagation of a change. A host learns of a change at the end of a sum of these times,
/// and each sum that can occur must be below 1 (`crates/fleet/tests/timing.rs`).
mod share {
    /// Wait of a watch by a host that no other follows.
    pub const WATCH: f64 = 0.45;
    /// Wait of a watch by a host that others follow.
    pub const FOLLOWED_WATCH: f64 = 0.35;
    /// Wait of a query to another host.
    pub const FEED: f64 = 0.25;
    /// Time without a response after which a call is repeated on another connection.
    pub const PROBE: f64 = 0.25;
    /// Minimum and maximum pause after a watch that returned changes.
    pub const BATCH: (f64, f64) = (0.175, 0.25);
    /// Maximum pause after a failed call.
    pub const BACKOFF: f64 = 0.2;
    /// Timeout for opening a connection to another host.
    pub const CONNECT: f64 = 0.1;
    /// Timeout for the response of another host, after the wait that it was asked for.
    pub const RESPONSE: f64 = 0.2;
    /// Maximum time since the last response of the store for which a host supplies others.
    pub const UPDATE_AGE: f64 = 0.65;
    /// Time for which a source that failed is excluded while there are others. May exceed the bound: the leader of each
    /// zone calls the store all the while.
    pub const EXCLUSION: f64 = 1.25;
}

/// Times of the calls through which a host learns of changes, all derived from one bound: the time within which a
/// change must be in force at every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    bound: Duration,
}

/// Bound of deployments that name none, in milliseconds.
pub const DEFAULT_BOUND_MS: u64 = 2_000;

impl Default for Timing {
    fn default() -> Self {
        Self::new(Duration::from_millis(DEFAULT_BOUND_MS))
    }
}

impl Timing {
    /// Derives the times from the time within which a change must be in force.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// The time within which a change must be in force.
    #[must_use]
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Maximum wait of a watch of the store; shorter if other hosts follow this one, since they leave a host that had
    /// no response for some time.
    #[must_use]
    pub fn watch_wait(&self, is_followed: bool) -> Duration {
        self.bound.mul_f64(if is_followed {
            share::FOLLOWED_WATCH
        } else {
            share::WATCH
        })
    }

    /// Wait of a query to another host for changes; a response also proves that the host is alive.
    #[must_use]
    pub fn feed_wait(&self) -> Duration {
        self.bound.mul_f64(share::FEED)
    }

    /// Time after which a call to the store without a response is repeated beside it. The connection may carry nothing,
    /// and a slow store may still respond to the first call.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        self.bound.mul_f64(share::PROBE)
    }

    /// Pause after a watch that returned changes: `wanted` within limits. Changes come in bursts, and each watch that
    /// returns is a priced call.
    #[must_use]
    pub fn batch_interval(&self, wanted: Duration) -> Duration {
        let (min, max) = share::BATCH;
        wanted.clamp(self.bound.mul_f64(min), self.bound.mul_f64(max))
    }

    /// Maximum time between the starts of failing calls.
    #[must_use]
    pub fn max_backoff(&self) -> Duration {
        self.bound.mul_f64(share::BACKOFF)
    }

    /// Timeout for opening a connection to another host.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        self.bound.mul_f64(share::CONNECT)
    }

    /// Timeout for the response of another host, after the wait that it was asked for.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        self.bound.mul_f64(share::RESPONSE)
    }

    /// Time for which a source that failed is excluded while there are others.
    #[must_use]
    pub fn exclusion(&self) -> Duration {
        self.bound.mul_f64(share::EXCLUSION)
    }

    /// Maximum time since the last response of the store for which a host supplies others: the pause of a watch, its
    /// wait, and some transit time. A longer silence means that the store was lost without an error.
    #[must_use]
    pub fn max_update_age(&self) -> Duration {
        self.bound.mul_f64(share::UPDATE_AGE)
    }
}
