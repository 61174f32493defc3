//! Selection of the entry hosts for the directory.

use std::collections::BTreeSet;

use agatemill_core::id;
use agatemill_membership::Member;
use agatemill_membership::Service;
use agatemill_membership::State;
use agatemill_wire::directory::Place;

/// Selects the entry hosts whose entry is ready and that are not in `leaving`.
///
/// Suspected hosts are excluded, unless fewer than half of the ready hosts would remain: a partition of this host is
/// then more likely than a failure of all of them.
pub fn choose<'a>(
    members: impl Iterator<Item = &'a Member>,
    leaving: &BTreeSet<id::Host>,
) -> Vec<Place> {
    let ready: Vec<_> = members
        .filter(|member| member.state.is_present())
        .filter(|member| member.profile.service == Service::Ready)
        .filter(|member| !leaving.contains(&member.host))
        .collect();
    let alive = ready
        .iter()
        .filter(|member| member.state == State::Alive)
        .count();
    let suspects = 2 * alive < ready.len();
    ready
        .into_iter()
        .filter(|member| suspects || member.state == State::Alive)
        .filter_map(place)
        .collect()
}

fn place(member: &Member) -> Option<Place> {
    Some(Place {
        host: member.host.clone(),
        zone: member.profile.zone.clone(),
        address: member.profile.entry?,
    })
}
