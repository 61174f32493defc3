//! How far a request has come.

use derive_more::Display;

/// How far a request has come on its way to the backend servers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The entry has read the request.
    #[display("received")]
    Received,
    /// The limits let it pass.
    #[display("admitted")]
    Admitted,
    /// The first byte may have left for a backend server.
    #[display("sent")]
    Sent,
    /// The whole answer has arrived from the backend server.
    #[display("answered")]
    Answered,
}

impl Phase {
    /// Every phase, in order.
    pub const ALL: [Self; 4] = [Self::Received, Self::Admitted, Self::Sent, Self::Answered];
}
