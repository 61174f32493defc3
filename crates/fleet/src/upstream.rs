//! Selection of the source from which a host receives changes of the platform's store.
//!
//! Every host that watches the store costs a call for each change, so calls would grow with the number of
//! hosts. One host of each zone, its leader, watches the store; the others of the zone follow the leader,
//! which keeps the traffic within the zone. A host that loses its leader calls the store itself. Stores may
//! reject single hosts; a host that the store rejects follows the leader of another zone.

pub mod timing;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Member;
use crate::member;
use agatemill_core::id;

/// Time for which a failed source is excluded while there is another: about the time after which a host that
/// died is no longer listed.
const FAILURE_EXCLUSION: Duration = Duration::from_secs(3);

/// Source of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another host.
    Host {
        /// Its name.
        host: id::Host,
        /// Its address for other hosts.
        address: SocketAddrV4,
    },
}

/// Selects the source of changes by the recent failures of each.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// Time until which the store is excluded.
    store_excluded_until: Duration,
    /// Time until which each host is excluded; expired entries are removed when a host fails.
    hosts_excluded_until: HashMap<id::Host, Duration>,
}

/// The source to call next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The source.
    pub source: Source,
    /// Whether all sources have failed recently, so that the caller should wait before it calls this one.
    pub is_last_resort: bool,
}

impl Upstream {
    /// Selects the source that the host `own` of a zone calls next, given the serving hosts.
    ///
    /// The order is the leader of the zone, the store, then the leaders of other zones. When all have failed,
    /// the leader of the zone calls the store and the others call hosts, so that few hosts call a store that
    /// is down.
    #[must_use]
    pub fn choose(
        &self,
        own: &id::Host,
        zone: &id::Zone,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Choice {
        let own_leader = member::zone_leader(members, zone).filter(|leader| &leader.host != own);
        let zones = member::other_zones(members, zone);
        let other_leaders = zones
            .into_iter()
            .filter_map(|zone| member::zone_leader(members, zone));
        let own_leader = own_leader.map(Source::from);
        let other_leaders: Vec<Source> = other_leaders.map(Source::from).collect();
        let sources = own_leader
            .iter()
            .chain([&Source::Store])
            .chain(&other_leaders);
        let usable = sources
            .clone()
            .find(|source| self.excluded_until(source) <= now);
        if let Some(source) = usable {
            return Choice {
                source: source.clone(),
                is_last_resort: false,
            };
        }
        let hosts = sources.filter(|source| **source != Source::Store);
        let next = hosts.min_by_key(|source| self.excluded_until(source));
        let next = next.filter(|_| own_leader.is_some());
        Choice {
            source: next.cloned().unwrap_or(Source::Store),
            is_last_resort: true,
        }
    }

    /// Records that a source gave no response, or one that is too old.
    pub fn record_failure(&mut self, source: &Source, now: Duration) {
        match source {
            Source::Store => self.store_excluded_until = now + FAILURE_EXCLUSION,
            Source::Host { host, .. } => {
                self.hosts_excluded_until.retain(|_, until| *until > now);
                self.hosts_excluded_until
                    .insert(host.clone(), now + FAILURE_EXCLUSION);
            }
        }
    }

    /// Records that a source has responded.
    pub fn record_answer(&mut self, source: &Source) {
        match source {
            Source::Store => self.store_excluded_until = Duration::ZERO,
            Source::Host { host, .. } => {
                self.hosts_excluded_until.remove(host);
            }
        }
    }

    /// Time until which a source is excluded.
    fn excluded_until(&self, source: &Source) -> Duration {
        match source {
            Source::Store => self.store_excluded_until,
            Source::Host { host, .. } => self
                .hosts_excluded_until
                .get(host)
                .copied()
                .unwrap_or_default(),
        }
    }
}

impl From<&Member> for Source {
    fn from(member: &Member) -> Self {
        Self::Host {
            host: member.host.clone(),
            address: member.exchange,
        }
    }
}
