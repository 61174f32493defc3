//! What a request may claim of the memory that is free.

/// What a request may claim of the memory that is free, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Claim {
    /// A new request.
    New,
    /// Servers have rejected it; its caller still waits.
    Retried,
    /// A part of its response was delivered.
    InProgress,
}
