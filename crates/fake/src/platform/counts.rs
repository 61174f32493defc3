//! Numbers of calls.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Ranges.
    pub reads: Calls,
    /// Puts and transactions.
    pub writes: Calls,
    /// Grants, renewals and revocations.
    pub leases: Calls,
    /// Watches that were opened.
    pub watches: Calls,
    /// Watches that are open now.
    pub waiting: u64,
    /// Most watches that were open at once.
    pub waiting_peak: u64,
}

/// Calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Calls since the start.
    pub total: u64,
    /// Most calls in one second of the process clock.
    pub peak: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    in_second: u64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A range.
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

    /// Takes note of the number of open watches.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.waiting = waiting as u64;
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
