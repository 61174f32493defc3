//! Entry hosts, as each registers itself.

use core::hash::BuildHasher;
use core::net::SocketAddrV4;
use std::collections::HashMap;

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
}

/// The leader of a zone: the host with the lowest name, so that all hosts agree without a message.
#[must_use]
pub fn zone_leader<'a>(
    members: &'a HashMap<id::Host, Member, impl BuildHasher>,
    zone: &id::Zone,
) -> Option<&'a Member> {
    let in_zone = members.values().filter(|member| &member.zone == zone);
    in_zone.min_by(|a, b| a.host.cmp(&b.host))
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
