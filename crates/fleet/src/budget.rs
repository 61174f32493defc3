//! Retry budget of a service, shared by all hosts.

use core::time::Duration;
use std::collections::VecDeque;

use crate::Headcount;

/// Buckets into which the window is divided. The bucket in progress is counted in addition to these, so that
/// the count covers every retry of the last window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the allowance that hosts use. The rest covers processes that were killed and lost their count of the
/// retries in the window, and changes of the rate of requests.
const USED_SHARE: f64 = 0.5;

/// Share of the retries that are kept for requests whose runs have ended, the most urgent ones if they differ in urgency. A silent
/// rack may have hundreds of streams.
const RESERVED_SHARE: f64 = 0.25;

/// Minimum number of hosts assumed to share the free retries, in the first window of a process.
const MIN_HOSTS_IN_FIRST_WINDOW: usize = 32;

/// Retries that all hosts together may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries that are free in each window, for all hosts together.
    pub base: f64,
    /// Length of the window.
    pub window: Duration,
}

/// This host's share of the retries that a service may receive in any window.
///
/// The free retries are divided evenly among the hosts; the others are earned by this host's own requests. When a
/// host joins, the shares of the others shrink as soon as they learn of it.
///
/// A process may follow one that was killed and whose retries in the window are unknown. Its free retries grow
/// with its age over one window, so that all processes of a host together send less than two shares of them in
/// any window, however often the host restarts.
///
/// Shares are fractions, and small in a large fleet. Rounded down at each host they would leave up to one retry a host
/// unused, so each process adds an offset of its own before it rounds.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// Added to the share before it is rounded down. Invariant: from 0 to below 1.
    offset: f64,
    /// When the budget was created.
    created: Duration,
    /// Whether an earlier process of this host may have sent retries.
    has_predecessor: bool,
    /// Buckets of the window, oldest first.
    buckets: VecDeque<Bucket>,
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// No run of the request is in progress.
    Retry,
    /// The server of a run is silent; the run may still continue.
    Backup,
    /// No run of the request is in progress, and there are more urgent requests for the service.
    LessUrgent,
}

/// The inputs of a decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Hosts among which the free retries are divided.
    pub hosts: usize,
    /// Requests that this host received in the window.
    pub requests: u32,
    /// Retries that this host sent in the window.
    pub retries: u32,
    /// Retries that this host may send in the window, before rounding.
    pub allowed: f64,
    /// Added before `allowed` is rounded down.
    pub offset: f64,
}

impl Balance {
    /// Whether another retry may be sent for this purpose.
    #[must_use]
    pub fn allows(&self, purpose: Purpose) -> bool {
        let allowed = match purpose {
            Purpose::Retry => self.allowed,
            Purpose::Backup | Purpose::LessUrgent => self.allowed * (1.0 - RESERVED_SHARE),
        };
        f64::from(self.retries) + 1.0 <= allowed + self.offset
    }
}

/// Counts of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the bucket since time zero.
    number: u64,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates an unused budget of a process that may follow a killed one. In the first window at least
    /// `MIN_HOSTS_IN_FIRST_WINDOW` hosts are assumed to share it: a process that has just started does not know how
    /// many hosts have started with it.
    #[must_use]
    pub fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            offset: 0.0,
            created: now,
            has_predecessor: true,
            buckets: VecDeque::new(),
        }
    }

    /// Creates an unused budget of the first process of a host, whose free retries are available at once.
    #[must_use]
    pub fn without_predecessor(allowance: Allowance, now: Duration) -> Self {
        Self {
            has_predecessor: false,
            ..Self::new(allowance, now)
        }
    }

    /// Sets what is added to the share before it is rounded down: random numbers from 0 to below 1 in the processes of a
    /// fleet, so that their shares together are not rounded.
    #[must_use]
    pub fn with_offset(self, offset: f64) -> Self {
        Self { offset, ..self }
    }

    /// Replaces the allowance. Requests and retries of the window still count. With a window of another length they
    /// cannot be assigned to its buckets, so the budget continues like that of a restarted process.
    pub fn set_allowance(&mut self, allowance: Allowance, now: Duration) {
        if allowance.window == self.allowance.window {
            self.allowance = allowance;
        } else {
            *self = Self::new(allowance, now).with_offset(self.offset);
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry while `hosts` share the budget; returns false when the budget is exhausted for this purpose.
    #[must_use]
    pub fn take(&mut self, purpose: Purpose, hosts: &Headcount, now: Duration) -> bool {
        if !self.balance(hosts, now).allows(purpose) {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Returns what a decision on a retry depends on while `hosts` share the budget.
    pub fn balance(&mut self, hosts: &Headcount, now: Duration) -> Balance {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let window = self.allowance.window;
        let age = now.saturating_sub(self.created);
        let min_hosts = if age < window {
            MIN_HOSTS_IN_FIRST_WINDOW
        } else {
            1
        };
        let hosts = hosts.largest().max(min_hosts);
        let free = self.allowance.base / f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
        let available = if self.has_predecessor {
            age.div_duration_f64(window).min(1.0)
        } else {
            1.0
        };
        let earned = self.allowance.ratio * f64::from(requests);
        Balance {
            hosts,
            requests,
            retries,
            allowed: (free * available + earned) * USED_SHARE,
            offset: self.offset,
        }
    }

    /// Returns the bucket that contains `now`, after dropping the buckets that have left the window.
    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let length = self.allowance.window / BUCKETS_PER_WINDOW;
        let number = now.as_nanos() / length.as_nanos().max(1);
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        while let Some(oldest) = self.buckets.front() {
            if oldest.number + u64::from(BUCKETS_PER_WINDOW) >= number {
                break;
            }
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|last| last.number < number) {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
