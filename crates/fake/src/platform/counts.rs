//! Call counters.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Numbers of calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Range reads.
    pub reads: Calls,
    /// Puts and transactions.
    pub writes: Calls,
    /// Lease grants, renewals and revocations.
    pub leases: Calls,
    /// Opened watches.
    pub watches: Calls,
    /// Currently open watches.
    pub waiting: u64,
    /// Maximum number of concurrently open watches.
    pub waiting_peak: u64,
}

/// Counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Number of calls since the start.
    pub total: u64,
    /// Maximum number of calls in one second of the process clock.
    pub peak: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    in_second: u64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A range read.
    Read,
    /// A put or transaction.
    Write,
    /// A grant, renewal or revocation of a lease.
    Lease,
    /// A watch.
    Watch,
}

impl Counts {
    /// Counts a call.
    pub fn add(&mut self, kind: Kind, now: Duration) {
        match kind {
            Kind::Read => self.reads.add(now),
            Kind::Write => self.writes.add(now),
            Kind::Lease => self.leases.add(now),
            Kind::Watch => self.watches.add(now),
        }
    }

    /// Sets the number of open watches and updates its peak.
    pub fn set_open_watches(&mut self, watches: usize) {
        self.waiting = watches as u64;
        self.waiting_peak = self.waiting_peak.max(self.waiting);
    }
}

impl Calls {
    fn add(&mut self, now: Duration) {
        if self.second != now.as_secs() {
            self.second = now.as_secs();
            self.in_second = 0;
        }
        self.total += 1;
        self.in_second += 1;
        self.peak = self.peak.max(self.in_second);
    }
}
