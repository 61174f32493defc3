//! Selection of the members that use the platform on behalf of their zone.

use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_membership::Member;
use agatemill_membership::State;

/// Members of each zone that watch the platform.
const WATCHERS_PER_ZONE: usize = 2;

/// Members of each zone that are registered at the platform. They include the watchers; the third one keeps the
/// zone registered while the keys of two members that died at the same time have not expired.
const CONTACTS_PER_ZONE: usize = 3;

/// Whether `own` is one of the live members of its zone that watch the platform: those with the lowest rendezvous
/// hashes.
pub fn is_watcher<'a>(own: &Member, others: impl Iterator<Item = &'a Member>) -> bool {
    rank(own, others) < WATCHERS_PER_ZONE
}

/// Whether `own` is one of the live members of its zone that new hosts find at the platform.
pub fn is_contact<'a>(own: &Member, others: impl Iterator<Item = &'a Member>) -> bool {
    rank(own, others) < CONTACTS_PER_ZONE
}

/// Live members in ascending order of their rendezvous hashes.
#[must_use]
pub fn ranked(members: &[Member]) -> Vec<&Member> {
    let alive = members.iter();
    let mut alive: Vec<_> = alive
        .filter(|member| member.state == State::Alive)
        .collect();
    alive.sort_by_cached_key(|member| hash(&member.host));
    alive
}

fn hash(host: &id::Host) -> (u64, id::Host) {
    (Digest::of(host.as_str().as_bytes()).prefix(), host.clone())
}

/// Number of other live members in the zone of `own` with a lower rendezvous hash.
fn rank<'a>(own: &Member, others: impl Iterator<Item = &'a Member>) -> usize {
    let mine = hash(&own.host);
    let lower = others
        .filter(|member| member.state == State::Alive)
        .filter(|member| member.profile.zone == own.profile.zone)
        .filter(|member| hash(&member.host) < mine);
    lower.count()
}
