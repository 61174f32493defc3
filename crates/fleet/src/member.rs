//! Entry hosts, as each registers itself.

use core::cmp::Ordering;
use core::hash::BuildHasher;
use core::net::SocketAddrV4;
use std::collections::HashMap;

use crate::Capacity;
use agatemill_core::id;

/// An entry host that serves callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Availability zone.
    pub zone: id::Zone,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Address that other hosts connect to.
    pub exchange: SocketAddrV4,
    /// What it has for duties that it performs for others.
    pub capacity: Capacity,
}

impl Member {
    /// Compares by suitability for duties, the most suitable first: by capacity, then by name, so that all hosts agree without
    /// a message.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Ordering {
        let by_capacity = other.capacity.cmp(&self.capacity);
        by_capacity.then_with(|| self.host.cmp(&other.host))
    }
}

/// The leader of a zone: its most suitable host.
#[must_use]
pub fn zone_leader<'a>(
    members: &'a HashMap<id::Host, Member, impl BuildHasher>,
    zone: &id::Zone,
) -> Option<&'a Member> {
    let in_zone = members.values().filter(|member| &member.zone == zone);
    in_zone.min_by(|a, b| a.compare(b))
}

/// The zones of all hosts except `zone`, in ascending order.
#[must_use]
pub fn other_zones<'a>(
    members: &'a HashMap<id::Host, Member, impl BuildHasher>,
    zone: &id::Zone,
) -> Vec<&'a id::Zone> {
    let mut zones: Vec<&id::Zone> = members.values().map(|member| &member.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.retain(|other| *other != zone);
    zones
}
