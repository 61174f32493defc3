//! Which members watch the platform on behalf of their zone.

use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_membership::Member;
use agatemill_membership::State;

/// Members of each zone that watch the platform.
const WATCHERS: usize = 2;

/// Whether `own` is one of the live members of its zone with the lowest rendezvous hashes.
pub fn watches<'a>(own: &Member, others: impl Iterator<Item = &'a Member>) -> bool {
    let hash = |host: &id::Host| (Digest::of(host.as_str().as_bytes()).prefix(), host.clone());
    let mine = hash(&own.host);
    let lower = others
        .filter(|member| member.state == State::Alive)
        .filter(|member| member.profile.zone == own.profile.zone)
        .filter(|member| hash(&member.host) < mine);
    lower.count() < WATCHERS
}
