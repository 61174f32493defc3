//! Decides whether a host may serve with a configuration that the platform has not confirmed recently.

use core::time::Duration;

use agatemill_core::id;

/// Another member, as seen by this host. Dead members are included, members that have left are not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub host: id::Host,
    /// Whether this host can reach the member.
    pub reachable: bool,
}

/// How a host handles new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The host serves new requests.
    Serve,
    /// The host rejects new requests as not run.
    Refuse,
}

/// Decides whether the host `own` serves, given the other members `peers`.
///
/// `age` is the time since the platform's last known confirmation, or `None` if there was none. Up to `limit`,
/// the host serves. Beyond it, the host serves only if it reaches a majority of the members, itself included.
/// In an even split, the side with the lowest host id serves.
#[must_use]
pub fn decide(own: &id::Host, peers: &[Peer], age: Option<Duration>, limit: Duration) -> Decision {
    if age.is_some_and(|age| age <= limit) {
        return Decision::Serve;
    }
    let members = peers.len() + 1;
    let reached = peers.iter().filter(|peer| peer.reachable).count() + 1;
    let serves = match (2 * reached).cmp(&members) {
        core::cmp::Ordering::Greater => true,
        core::cmp::Ordering::Less => false,
        core::cmp::Ordering::Equal => reaches_lowest_host(own, peers),
    };
    if serves {
        Decision::Serve
    } else {
        Decision::Refuse
    }
}

fn reaches_lowest_host(own: &id::Host, peers: &[Peer]) -> bool {
    let lowest = peers.iter().min_by_key(|peer| &peer.host);
    lowest.is_none_or(|lowest| own < &lowest.host || lowest.reachable)
}
