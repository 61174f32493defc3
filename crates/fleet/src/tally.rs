//! Load on backend servers in the form that hosts exchange.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Demand;
use crate::Load;
use crate::load::Usage;
use agatemill_core::Digest;
use agatemill_core::id;

/// Maximum number of servers, and of subjects of demand, in a sum. One with more does not fit into a datagram.
pub(crate) const MAX_ROWS: usize = 10_000;

/// Short key of a backend server or a service. Two of them have the same key with a probability of one in 2^32 for each
/// pair; the load of either then counts for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u32);

/// Load on backend servers, summed over some hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    rows: BTreeMap<Key, Row>,
    /// Demand by urgency.
    pub demand: Demand,
}

/// Load on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Requests that run or wait there.
    pub requests: u32,
    /// Tokens that they are expected to hold.
    pub tokens: u32,
    /// Prompt tokens not yet confirmed as read.
    pub unread: u32,
}

impl Key {
    fn of(name: &str) -> Self {
        let prefix = Digest::of(name.as_bytes()).prefix();
        // Any 32 bits of a digest serve equally well.
        #[allow(clippy::cast_possible_truncation)]
        Self((prefix >> 32) as u32)
    }
}

impl From<&id::Server> for Key {
    fn from(server: &id::Server) -> Self {
        Self::of(server.as_str())
    }
}

impl From<&id::Service> for Key {
    fn from(service: &id::Service) -> Self {
        Self::of(service.as_str())
    }
}

impl From<&Load> for Tally {
    fn from(load: &Load) -> Self {
        let mut tally = Self::default();
        for (server, usage) in load.servers() {
            tally.rows.insert(server.into(), usage.into());
        }
        tally
    }
}

impl From<Usage> for Row {
    fn from(usage: Usage) -> Self {
        // The tokens of one server's requests are not negative and far below `u32::MAX`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = |tokens: f64| tokens as u32;
        Self {
            requests: usage.requests,
            tokens: whole(usage.tokens),
            unread: whole(usage.unread),
        }
    }
}

impl Tally {
    /// Load on one server.
    #[must_use]
    pub fn of(&self, key: Key) -> Row {
        self.rows.get(&key).copied().unwrap_or_default()
    }

    /// Number of servers and of subjects of demand.
    #[must_use]
    pub fn rows(&self) -> usize {
        self.rows.len() + self.demand.rows()
    }

    /// Adds the load and the demand from other hosts. More servers or subjects than fit into a datagram are left out.
    pub fn add(&mut self, other: &Self) {
        self.demand.add(&other.demand);
        for (key, row) in &other.rows {
            if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(key) {
                continue;
            }
            let sum = self.rows.entry(*key).or_default();
            sum.requests = sum.requests.saturating_add(row.requests);
            sum.tokens = sum.tokens.saturating_add(row.tokens);
            sum.unread = sum.unread.saturating_add(row.unread);
        }
    }
}
