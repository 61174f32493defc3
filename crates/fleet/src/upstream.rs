//! Where a host learns of changes of the platform's store.
//!
//! It answers fleets of many hosts, and stores that turn single hosts away. Every host that watches the
//! store costs a call for each change, so that calls grow with the number of hosts. One host of each zone
//! watches; the others of the zone follow it, which keeps the bytes within the zone. Whoever loses the host
//! that it follows asks the store itself, and whoever the store turns away follows any host that it serves.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Member;
use crate::member;
use agatemill_core::id;

/// How long a source that failed is left out while there is another: about the time after which a host that
/// died is no longer listed.
const PENALTY: Duration = Duration::from_secs(3);

/// Where a host asks for changes.
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

/// Chooses where a host asks for changes.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// Until when the store is left out.
    store_until: Duration,
    /// Until when hosts are left out; passed times are removed when a host fails.
    hosts_until: HashMap<id::Host, Duration>,
}

/// Whom to ask next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Whom to ask.
    pub source: Source,
    /// Whether all sources have just failed, so that asking at once makes no sense.
    pub is_last_resort: bool,
}

impl Upstream {
    /// Whom the host `own` of a zone asks next, given the hosts that serve.
    ///
    /// The host that watches for the zone comes first, then the store, then the hosts that watch for other
    /// zones. When all have failed, the host that watches asks the store, and the others ask hosts: a store
    /// that is down is thus asked by few.
    #[must_use]
    pub fn choose(
        &self,
        own: &id::Host,
        zone: &id::Zone,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Choice {
        let near = member::zone_leader(members, zone).filter(|leader| &leader.host != own);
        let zones = member::other_zones(members, zone);
        let far = zones
            .into_iter()
            .filter_map(|zone| member::zone_leader(members, zone));
        let near = near.map(Source::from);
        let far: Vec<Source> = far.map(Source::from).collect();
        let sources = near.iter().chain([&Source::Store]).chain(&far);
        let usable = sources.clone().find(|source| self.until(source) <= now);
        if let Some(source) = usable {
            return Choice {
                source: source.clone(),
                is_last_resort: false,
            };
        }
        let hosts = sources.filter(|source| **source != Source::Store);
        let next = hosts.min_by_key(|source| self.until(source));
        let next = next.filter(|_| near.is_some());
        Choice {
            source: next.cloned().unwrap_or(Source::Store),
            is_last_resort: true,
        }
    }

    /// Notes that a source gave no answer, or one that is too old.
    pub fn failed(&mut self, source: &Source, now: Duration) {
        match source {
            Source::Store => self.store_until = now + PENALTY,
            Source::Host { host, .. } => {
                self.hosts_until.retain(|_, until| *until > now);
                self.hosts_until.insert(host.clone(), now + PENALTY);
            }
        }
    }

    /// Notes that a source has answered.
    pub fn answered(&mut self, source: &Source) {
        match source {
            Source::Store => self.store_until = Duration::ZERO,
            Source::Host { host, .. } => {
                self.hosts_until.remove(host);
            }
        }
    }

    /// Until when a source is left out.
    fn until(&self, source: &Source) -> Duration {
        match source {
            Source::Store => self.store_until,
            Source::Host { host, .. } => self.hosts_until.get(host).copied().unwrap_or_default(),
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
