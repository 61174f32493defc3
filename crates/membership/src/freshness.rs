//! Whether a host may serve with a configuration that the platform has not confirmed for a while.

use core::time::Duration;

use agatemill_core::id;

/// A known member as this host sees it. Members that have left are not listed; dead ones are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the host.
    pub host: id::Host,
    /// Whether this host reaches it.
    pub reachable: bool,
}

/// What a host does with new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It serves.
    Serve,
    /// It refuses new work as not run.
    Refuse,
}

/// Decides for the host `own`, which knows the other members `peers`.
///
/// `age` is the time since the platform's last confirmation that was heard of, `None` for never. Within
/// `limit` the host serves. Beyond it, the host serves when it reaches, with itself, more than half of
/// the members. In an even split, the side that holds the lowest host id serves.
#[must_use]
pub fn decide(own: &id::Host, peers: &[Peer], age: Option<Duration>, limit: Duration) -> Decision {
    if age.is_some_and(|age| age <= limit) {
        return Decision::Serve;
    }
    let known = peers.len() + 1;
    let reached = peers.iter().filter(|peer| peer.reachable).count() + 1;
    let serves = match (2 * reached).cmp(&known) {
        core::cmp::Ordering::Greater => true,
        core::cmp::Ordering::Less => false,
        core::cmp::Ordering::Equal => holds_lowest(own, peers),
    };
    if serves {
        Decision::Serve
    } else {
        Decision::Refuse
    }
}

fn holds_lowest(own: &id::Host, peers: &[Peer]) -> bool {
    let lowest = peers.iter().min_by_key(|peer| &peer.host);
    lowest.is_none_or(|lowest| own < &lowest.host || lowest.reachable)
}
