//! What a connection of a caller is doing.

/// What a connection is doing, in the order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing of the next request has arrived.
    Idle,
    /// The head of a request is incomplete.
    Head,
    /// A request is being served. The connection is not closed.
    Busy,
}
