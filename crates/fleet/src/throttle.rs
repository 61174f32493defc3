//! Rates of requests that servers accept from all hosts together.
//!
//! A host sends a request to a server with a limit only for a credit. The allocator ([`allocator`]) of the fleet, which
//! exists at most once, gives credits out at the rate of the limit. No host derives a share from the number of others:
//! hosts that are unknown, restart, or lack the store cannot make the sum too large. A host without credits uses other
//! servers.

pub mod allocator;
pub mod message;

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::tally::Key;
use crate::throttle::message::Ask;
use crate::throttle::message::Grant;
use crate::throttle::message::Notice;
use agatemill_core::quantity::Rate;

/// Time from an ask for credits until its answer is ignored.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from an ask until the credits that it brought expire.
const CREDIT_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a host tells the others that a limit was lifted.
const LIFTED_MEMORY: Duration = Duration::from_secs(10);

/// Time since a server named its limit until it is forgotten when the platform does not list the server.
const UNLISTED_MEMORY: Duration = Duration::from_mins(1);

/// Error of an age that another host states, from the time that its message took.
const AGE_ERROR: Duration = Duration::from_millis(20);

/// Maximum number of credits that a host asks for at once for one server.
const MAX_WANTED: u32 = 64;

/// Maximum number of limits that are taken from other hosts; those of this host's own responses always count. More do not fit
/// into a datagram beside the load.
const MAX_TOLD: usize = 2_048;

/// Request limits of servers and this host's credits. Times are on a clock that runs while the machine is suspended, so
/// that no credit outlives a suspension.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    limits: BTreeMap<Key, Limit>,
    credits: BTreeMap<Key, VecDeque<Credit>>,
    /// Requests since the last ask that a server with a limit could have served.
    wanted: BTreeMap<Key, u32>,
    /// The ask that has not been answered.
    pending: Option<Pending>,
    /// Number of the last ask.
    serial: u64,
}

/// What a server named last.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    /// `None` once it answers without a limit.
    rate: Option<Rate>,
    /// When it did.
    at: Duration,
}

/// Requests that may be sent.
#[derive(Clone, Copy, Debug)]
struct Credit {
    count: u32,
    expires: Duration,
}

/// An ask that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    serial: u64,
    at: Duration,
}

impl Throttle {
    /// Creates the state of a process. `serial` is a random number, so that the answer to an ask of an earlier process
    /// is not taken for one of this process.
    #[must_use]
    pub fn new(serial: u64) -> Self {
        Self {
            serial,
            ..Self::default()
        }
    }

    /// Records that a server named a limit, or none, in its answer to a request that was sent at `sent`. Returns whether
    /// the limit changed.
    pub fn observe(
        &mut self,
        server: Key,
        rate: Option<Rate>,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let known = self.limits.get(&server).copied();
        if rate.is_none() && known.is_none_or(|known| known.rate.is_none() || sent < known.at) {
            // No limit was known, or the request is older than it.
            return false;
        }
        self.limits.insert(server, Limit { rate, at: now });
        known.and_then(|known| known.rate) != rate
    }

    /// The limit of a server.
    #[must_use]
    pub fn limit(&self, server: Key) -> Option<Rate> {
        self.limits.get(&server)?.rate
    }

    /// Whether no server has a limit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether a request may be sent to a server: it has no limit, or this host has a credit.
    #[must_use]
    pub fn may_send(&self, server: Key, now: Duration) -> bool {
        if self.limit(server).is_none() {
            return true;
        }
        let credits = self.credits.get(&server);
        credits.is_some_and(|credits| credits.iter().any(|credit| credit.expires > now))
    }

    /// Takes a credit for a request to a server. Returns false if there is none and the server has a limit.
    #[must_use]
    pub fn take(&mut self, server: Key, now: Duration) -> bool {
        if self.limit(server).is_none() {
            return true;
        }
        let Some(credits) = self.credits.get_mut(&server) else {
            return false;
        };
        credits.retain(|credit| credit.expires > now && credit.count > 0);
        let Some(credit) = credits.front_mut() else {
            return false;
        };
        credit.count -= 1;
        true
    }

    /// Records a request that a server with a limit could serve.
    pub fn want(&mut self, server: Key) {
        let wanted = self.wanted.entry(server).or_default();
        *wanted = (*wanted + 1).min(MAX_WANTED);
    }

    /// Returns the ask for the credits that are wanted; `None` if there are enough.
    pub fn ask(&mut self, now: Duration) -> Option<Ask> {
        let wanted = core::mem::take(&mut self.wanted);
        let rows = wanted.into_iter().filter_map(|(server, wanted)| {
            self.limit(server)?;
            let missing = wanted.saturating_sub(self.credits_of(server, now));
            (missing > 0).then_some((server, missing))
        });
        let rows: Vec<(Key, u32)> = rows.collect();
        if rows.is_empty() {
            return None;
        }
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        self.pending = Some(Pending { serial, at: now });
        Some(Ask { serial, rows })
    }

    /// Adds the credits that the answer to the last ask brings. Late and repeated answers bring none.
    pub fn accept(&mut self, grant: Grant, now: Duration) {
        let is_answer = |pending: &mut Pending| {
            pending.serial == grant.serial && now < pending.at + GRANT_TIMEOUT
        };
        let Some(pending) = self.pending.take_if(is_answer) else {
            return;
        };
        for (server, count) in grant.rows {
            let credit = Credit {
                count,
                expires: pending.at + CREDIT_LIFETIME,
            };
            self.credits.entry(server).or_default().push_back(credit);
        }
    }

    /// The limits that are known, for the other hosts.
    pub fn notice(&mut self, now: Duration) -> Notice {
        self.limits
            .retain(|_, limit| limit.rate.is_some() || now < limit.at + LIFTED_MEMORY);
        self.credits.retain(|_, credits| {
            credits.retain(|credit| credit.expires > now && credit.count > 0);
            !credits.is_empty()
        });
        let limits = self.limits.iter();
        let rows =
            limits.map(|(server, limit)| message::Row::new(*server, limit.rate, limit.at, now));
        Notice {
            rows: rows.collect(),
        }
    }

    /// Adds the limits that another host knows, as long as they fit into a datagram; the latest answer of a server counts. Returns
    /// whether any changed.
    pub fn receive(&mut self, notice: Notice, now: Duration) -> bool {
        let mut has_changed = false;
        for row in notice.rows {
            let (server, rate, at) = (row.server, row.rate, row.at(now));
            let known = self.limits.get(&server).copied();
            if known.is_none() && self.limits.len() >= MAX_TOLD {
                continue;
            }
            if known.is_none_or(|known| known.at + AGE_ERROR < at) {
                self.limits.insert(server, Limit { rate, at });
                has_changed |= known.and_then(|known| known.rate) != rate;
            }
        }
        has_changed
    }

    /// Forgets the servers for which `is_listed` returns false and that have not named a limit recently: the platform may
    /// not list a server for a while although it serves.
    pub fn retain(&mut self, is_listed: impl Fn(Key) -> bool, now: Duration) {
        self.limits
            .retain(|server, limit| is_listed(*server) || now < limit.at + UNLISTED_MEMORY);
    }

    fn credits_of(&self, server: Key, now: Duration) -> u32 {
        let credits = self.credits.get(&server).into_iter().flatten();
        let valid = credits.filter(|credit| credit.expires > now);
        valid.map(|credit| credit.count).sum()
    }
}
