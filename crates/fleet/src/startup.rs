//! Requests that arrive while a host starts.
//!
//! After a loss of many hosts, callers repeat their requests at hosts that have just started and are still reading the
//! store. Most callers have one repeat, so a refusal ends a request that the host could serve a moment later. Such a
//! request waits for the host's first view, within limits:
//!
//! - until the host is ready, the store fails, or the reading takes too long: then a request is refused at once,
//!   since nothing shows when the host will be ready;
//! - for at most [`MAX_WAIT`], since callers of streams leave two seconds after the last event or later;
//! - for at most half of the caller's time, so that the rest suffices to serve it, or to repeat it elsewhere.
//!
//! The load that this answers is the connections that wait: no body is read meanwhile.

use core::time::Duration;

/// Maximum time for which a request waits for the first view.
pub const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum time for which the first reading of the store is expected to succeed: two timeouts of a call to it.
pub const MAX_READING: Duration = Duration::from_secs(3);

/// Share of a caller's time that a request may spend waiting.
const WAIT_SHARE: f64 = 0.5;

/// Progress of a host from its start until it is ready for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// The store is being read for the first time.
    Reading {
        /// When the reading began.
        since: Duration,
    },
    /// The store has failed, and has not responded again.
    Failed,
    /// The host has been ready.
    Complete,
}

impl Startup {
    /// A host that begins to read the store.
    #[must_use]
    pub fn begin(now: Duration) -> Self {
        Self::Reading { since: now }
    }

    /// Records that the store failed.
    pub fn record_failure(&mut self) {
        if *self != Self::Complete {
            *self = Self::Failed;
        }
    }

    /// Records that the store, which had failed, responds and is read again.
    pub fn record_response(&mut self, now: Duration) {
        if *self == Self::Failed {
            *self = Self::begin(now);
        }
    }

    /// Records that the host is ready.
    pub fn complete(&mut self) {
        *self = Self::Complete;
    }

    /// Time for which a request goes on waiting, given when it arrived and the time that its caller has left; zero if it is
    /// to be served or refused now.
    #[must_use]
    pub fn wait(&self, arrived: Duration, left: Option<Duration>, now: Duration) -> Duration {
        let Self::Reading { since } = *self else {
            return Duration::ZERO;
        };
        let allowed = left.map_or(MAX_WAIT, |left| left.mul_f64(WAIT_SHARE).min(MAX_WAIT));
        let until = (arrived + allowed).min(since + MAX_READING);
        until.saturating_sub(now)
    }
}
