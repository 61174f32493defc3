//! Leases of the store.

use core::time::Duration;
use std::collections::BTreeMap;

/// The active leases.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    last_id: i64,
    active: BTreeMap<i64, Lease>,
}

/// A lease.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Time from a grant or renewal to the expiry.
    pub ttl: Duration,
    /// Process time of the expiry.
    pub expires_at: Duration,
}

impl Leases {
    /// Creates a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> i64 {
        self.last_id += 1;
        let expires_at = now + ttl;
        self.active.insert(self.last_id, Lease { ttl, expires_at });
        self.last_id
    }

    /// Restarts the TTL of a lease; returns `None` if it has ended.
    pub fn renew(&mut self, id: i64, now: Duration) -> Option<Lease> {
        let lease = self.active.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(*lease)
    }

    /// Ends a lease; returns `false` if it has already ended.
    pub fn revoke(&mut self, id: i64) -> bool {
        self.active.remove(&id).is_some()
    }

    /// Whether a lease is active.
    #[must_use]
    pub fn contains(&self, id: i64) -> bool {
        self.active.contains_key(&id)
    }

    /// Ends all expired leases and returns their ids.
    pub fn expire(&mut self, now: Duration) -> Vec<i64> {
        let is_expired = |lease: &Lease| lease.expires_at <= now;
        let expired = self.active.extract_if(.., |_, lease| is_expired(lease));
        expired.map(|(id, _)| id).collect()
    }

    /// Ends all leases and returns their ids.
    pub fn drain(&mut self) -> Vec<i64> {
        core::mem::take(&mut self.active).into_keys().collect()
    }
}
