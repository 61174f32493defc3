//! Service of a control for other controls.

use crate::Envelope;
use crate::Leaving;
use crate::Member;

/// Service of a control for other controls.
#[tarpc::service]
pub trait Peer {
    /// Offers a configuration; returns the generation that the receiver then holds.
    async fn push(envelope: Envelope) -> u64;
    /// The configuration that the receiver holds, if its generation is above `known`.
    async fn pull(known: u64) -> Option<Envelope>;
    /// The leaving hosts that the receiver knows, if their list's revision is above `known`.
    async fn leaving(known: u64) -> Option<Leaving>;
    /// Exchanges everything known of members.
    async fn sync(members: Vec<Member>) -> Vec<Member>;
}
