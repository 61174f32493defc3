//! Entry hosts as they list themselves.

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
    /// Address for callers.
    pub address: SocketAddrV4,
    /// Address for other hosts.
    pub exchange: SocketAddrV4,
}

/// The host that acts for its zone: the one with the lowest name, so that all agree without a message.
#[must_use]
pub fn zone_leader<'a>(
    members: &'a HashMap<id::Host, Member, impl BuildHasher>,
    zone: &id::Zone,
) -> Option<&'a Member> {
    let in_zone = members.values().filter(|member| &member.zone == zone);
    in_zone.min_by(|a, b| a.host.cmp(&b.host))
}

/// The zones of all hosts besides `zone`, in order.
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
