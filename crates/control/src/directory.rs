//! Which entry hosts callers may use.

use std::collections::BTreeSet;

use agatemill_core::id;
use agatemill_membership::Member;
use agatemill_membership::Service;
use agatemill_membership::State;
use agatemill_wire::directory::Place;

/// Chooses the entry hosts whose entry is ready and that are not listed as `leaving`.
///
/// Suspected hosts are left out, unless fewer than half of the entry hosts would remain: then this host
/// is more likely to be cut off than all of them to be dead.
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
