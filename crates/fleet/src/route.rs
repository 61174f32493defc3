//! Routes of the configuration.

use core::time::Duration;

use compact_str::CompactString;

use agatemill_core::id;

/// Minimum time without an event after which callers abandon a stream. It is part of the contract with callers.
const MIN_ABANDONED_GAP: Duration = Duration::from_secs(2);

/// A route: maps requests to services and sets their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in the configuration.
    pub name: CompactString,
    /// Host name of the requests.
    pub host: CompactString,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: CompactString,
    /// Kind of the requests, which determines whether they may be retried.
    pub kind: Kind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Rank of the requests by urgency, 0 first.
    pub rank: u8,
    /// Services among which the requests are split. Invariant: not empty, and the weights do not sum to 0.
    pub split: Vec<Share>,
    /// Maximum number of backend servers that may run one attempt of a caller.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Target for the longest gap between two events of a stream.
    pub gap_target: Option<Duration>,
}

/// Kind of the requests of a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are event streams.
    Stream {
        /// Whether a broken stream may resume at another server after the last event received.
        is_resumable: bool,
    },
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

impl Route {
    /// Whether a request may be sent to another server after it may have run.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        matches!(
            self.kind,
            Kind::Idempotent | Kind::Stream { is_resumable: true }
        )
    }

    /// The time without an event after which callers abandon a stream.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let gap = self.gap_target.unwrap_or_default();
        MIN_ABANDONED_GAP
            .max(self.target_latency.saturating_mul(4))
            .max(gap.saturating_mul(8))
    }

    /// Picks the service for a request by weight; `point` is uniform over `0.0..1.0`.
    #[must_use]
    pub fn pick(&self, point: f64) -> &id::Service {
        let total: u32 = self.split.iter().map(|share| share.weight).sum();
        let mut rest = point * f64::from(total);
        for share in &self.split {
            rest -= f64::from(share.weight);
            if rest < 0.0 {
                return &share.service;
            }
        }
        &self.split[self.split.len() - 1].service
    }
}
