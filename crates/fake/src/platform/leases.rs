//! Leases of the store.

use core::time::Duration;
use std::collections::BTreeMap;

/// All leases that have not ended.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    last: i64,
    live: BTreeMap<i64, Lease>,
}

/// A lease.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Time from a grant or renewal to the end.
    pub ttl: Duration,
    /// Process time of the end.
    pub ends: Duration,
}

impl Leases {
    /// Creates a lease with a new number.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> i64 {
        self.last += 1;
        let ends = now + ttl;
        self.live.insert(self.last, Lease { ttl, ends });
        self.last
    }

    /// Starts the time to live of a lease again; `None` when it has ended.
    pub fn renew(&mut self, id: i64, now: Duration) -> Option<Lease> {
        let lease = self.live.get_mut(&id)?;
        lease.ends = now + lease.ttl;
        Some(*lease)
    }

    /// Ends a lease; `false` when it has ended before.
    pub fn revoke(&mut self, id: i64) -> bool {
        self.live.remove(&id).is_some()
    }

    /// Whether a lease has not ended.
    #[must_use]
    pub fn contains(&self, id: i64) -> bool {
        self.live.contains_key(&id)
    }

    /// Ends all leases whose time has passed and names them.
    pub fn expire(&mut self, now: Duration) -> Vec<i64> {
        let ended = |lease: &Lease| lease.ends <= now;
        let expired = self.live.extract_if(.., |_, lease| ended(lease));
        expired.map(|(id, _)| id).collect()
    }

    /// Ends all leases and names them.
    pub fn drain(&mut self) -> Vec<i64> {
        core::mem::take(&mut self.live).into_keys().collect()
    }
}
