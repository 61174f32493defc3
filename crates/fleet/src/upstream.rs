//! Selection of the source from which a host receives changes of the platform's store.
//!
//! Every host that watches the store costs a call for each change, so calls would grow with the number of
//! hosts. One host of each zone, its leader, watches the store; the others of the zone follow the leader,
//! which keeps the traffic within the zone. A host that loses its leader calls the store itself, and the next host
//! of the zone takes the place of a leader that gives no response: the platform lists it until the store ends its
//! lease. Stores may reject single hosts; a host that the store rejects follows the leader of another zone.

pub mod timing;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Member;
use crate::member;
use crate::upstream::timing::Timing;
use agatemill_core::id;

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
    timing: Timing,
    /// Time until which the store is excluded.
    store_excluded_until: Duration,
    /// Excluded hosts; expired entries are removed when a host fails.
    hosts: HashMap<id::Host, Exclusion>,
}

/// Exclusion of a host.
#[derive(Clone, Copy, Debug)]
struct Exclusion {
    until: Duration,
    /// Whether the host gave no response. Others then take its place as the leader of its zone.
    is_unreachable: bool,
}

/// The source to call next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The source.
    pub source: Source,
    /// Whether all sources have failed recently, so that the source should respond only when it has the changes.
    pub is_last_resort: bool,
}

impl Upstream {
    /// Creates a selection without failures.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Replaces the times after a change of the settings.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Selects the source that the host `own` of a zone calls next, given the serving hosts.
    ///
    /// The order is the leader of the zone, the store, the host that takes the leader's place, then the leaders of
    /// other zones. When all have failed, the leader of the zone calls the store, and the others call hosts that
    /// respond, so that few hosts call a store that is down.
    #[must_use]
    pub fn choose(
        &self,
        own: &id::Host,
        zone: &id::Zone,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> Choice {
        let listed = member::zone_leader(members, zone).filter(|leader| &leader.host != own);
        let listed = listed.map(Source::from);
        let leader = self.other_leader(own, zone, members, now).map(Source::from);
        let zones = member::other_zones(members, zone);
        let other_leaders = zones
            .into_iter()
            .filter_map(|zone| member::zone_leader(members, zone));
        let other_leaders: Vec<Source> = other_leaders.map(Source::from).collect();
        let sources = listed
            .iter()
            .chain([&Source::Store])
            .chain(&leader)
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
        let is_leader = leader.is_none();
        let may_have = |source: &&Source| match source {
            Source::Store => is_leader,
            // A leader that gave no response may have been restarted.
            Source::Host { .. } if is_leader => listed.as_ref() == Some(source),
            Source::Host { host, .. } => !self.is_unreachable(host, now),
        };
        let next = sources.filter(may_have);
        let next = next.min_by_key(|source| self.excluded_until(source));
        Choice {
            source: next.cloned().unwrap_or(Source::Store),
            is_last_resort: true,
        }
    }

    /// Whether the host `own` is the leader of its zone: all hosts before it give no response.
    #[must_use]
    pub fn is_leader(
        &self,
        own: &id::Host,
        zone: &id::Zone,
        members: &HashMap<id::Host, Member>,
        now: Duration,
    ) -> bool {
        self.other_leader(own, zone, members, now).is_none()
    }

    /// The leader of the zone among the hosts that respond; `None` if it is the host `own`.
    fn other_leader<'a>(
        &self,
        own: &id::Host,
        zone: &id::Zone,
        members: &'a HashMap<id::Host, Member>,
        now: Duration,
    ) -> Option<&'a Member> {
        let in_zone = members.values().filter(|member| &member.zone == zone);
        let reachable =
            in_zone.filter(|member| &member.host == own || !self.is_unreachable(&member.host, now));
        let leader = reachable.min_by(|a, b| a.compare(b));
        leader.filter(|leader| &leader.host != own)
    }

    /// Records that a source gave no response.
    pub fn record_failure(&mut self, source: &Source, now: Duration) {
        let until = now + self.timing.exclusion();
        match source {
            Source::Store => self.store_excluded_until = until,
            Source::Host { host, .. } => self.exclude(host, until, true, now),
        }
    }

    /// Records that a host responded, but has lost the store itself.
    pub fn record_refusal(&mut self, host: &id::Host, now: Duration) {
        self.exclude(host, now + self.timing.exclusion(), false, now);
    }

    fn exclude(&mut self, host: &id::Host, until: Duration, is_unreachable: bool, now: Duration) {
        self.hosts.retain(|_, exclusion| exclusion.until > now);
        let exclusion = Exclusion {
            until,
            is_unreachable,
        };
        self.hosts.insert(host.clone(), exclusion);
    }

    /// Records that a source has responded.
    pub fn record_answer(&mut self, source: &Source) {
        match source {
            Source::Store => self.store_excluded_until = Duration::ZERO,
            Source::Host { host, .. } => {
                self.hosts.remove(host);
            }
        }
    }

    /// Time until which a source is excluded.
    fn excluded_until(&self, source: &Source) -> Duration {
        match source {
            Source::Store => self.store_excluded_until,
            Source::Host { host, .. } => {
                let exclusion = self.hosts.get(host);
                exclusion.map_or(Duration::ZERO, |exclusion| exclusion.until)
            }
        }
    }

    fn is_unreachable(&self, host: &id::Host, now: Duration) -> bool {
        let exclusion = self.hosts.get(host);
        exclusion.is_some_and(|exclusion| exclusion.is_unreachable && exclusion.until > now)
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
