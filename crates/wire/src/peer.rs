//! Service of a control for other controls.

use crate::Envelope;
use crate::Leaving;
use crate::Member;

/// Service of a control for other controls.
#[tarpc::service]
pub trait Peer {
    /// Offers a configuration; returns the generation that the receiver has afterwards.
    async fn push(envelope: Envelope) -> u64;
    /// Returns the receiver's configuration if its generation is above `known`.
    async fn pull(known: u64) -> Option<Envelope>;
    /// Returns the receiver's list of leaving hosts if its revision is above `known`.
    async fn leaving(known: u64) -> Option<Leaving>;
    /// Exchanges the full membership state.
    async fn sync(members: Vec<Member>) -> Vec<Member>;
}
