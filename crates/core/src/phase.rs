//! Progress of a request.

use derive_more::Display;

/// Progress of a request towards the backend servers and back.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The entry has read the request.
    #[display("received")]
    Received,
    /// The request passed the limits.
    #[display("admitted")]
    Admitted,
    /// The first byte may have been sent to a backend server.
    #[display("sent")]
    Sent,
    /// The complete response has arrived from the backend server.
    #[display("answered")]
    Answered,
}

impl Phase {
    /// Every phase, in order.
    pub const ALL: [Self; 4] = [Self::Received, Self::Admitted, Self::Sent, Self::Answered];
}
