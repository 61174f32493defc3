//! Retry budget of a service, shared by all hosts.

use core::time::Duration;
use std::collections::VecDeque;

/// Buckets into which the window is divided. The bucket in progress is counted in addition to these, so that
/// the count covers every retry of the last window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Share of the allowance that hosts use. A process that was killed loses its count of the retries in the
/// window, and a host may briefly know of fewer hosts than there are.
const USED_SHARE: f64 = 0.5;

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
/// The free retries are divided evenly among the hosts; the others are earned by this host's own requests.
/// When a host joins, the shares of the others shrink as soon as they learn of it.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// When the budget was created.
    created: Duration,
    /// Buckets of the window, oldest first.
    buckets: VecDeque<Bucket>,
}

/// Counts of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the bucket since time zero.
    number: u64,
    requests: u32,
    retries: u32,
    /// Largest number of hosts that shared the budget.
    hosts: usize,
}

impl Budget {
    /// Creates an unused budget. In the first window at least `MIN_HOSTS_IN_FIRST_WINDOW` hosts are assumed to
    /// share it: a process that has just started knows neither what it sent before nor how many hosts have
    /// started with it.
    #[must_use]
    pub fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            created: now,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry while `hosts` hosts share the budget; returns false when the budget is exhausted.
    #[must_use]
    pub fn take(&mut self, hosts: usize, now: Duration) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        // Hosts that seem gone may only have lost their leases, so the largest number in the window counts.
        let bucket = self.current_bucket(now);
        bucket.hosts = bucket.hosts.max(hosts);
        let hosts = self.buckets.iter().map(|bucket| bucket.hosts).max();
        let is_first_window = now < self.created + self.allowance.window;
        let min_hosts = if is_first_window {
            MIN_HOSTS_IN_FIRST_WINDOW
        } else {
            1
        };
        let hosts = u32::try_from(hosts.unwrap_or(1).max(min_hosts)).unwrap_or(u32::MAX);
        let free = self.allowance.base / f64::from(hosts);
        let earned = self.allowance.ratio * f64::from(requests);
        if f64::from(retries) + 1.0 > (free + earned) * USED_SHARE {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
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
