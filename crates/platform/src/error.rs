//! Errors of the key-value service.

use derive_more::Display;
use derive_more::Error;

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The call had no effect: it was not sent, or the service refused it.
    #[display("platform unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The call may have taken effect.
    #[display("platform answer lost: {_0}")]
    Uncertain(#[error(not(source))] String),
    /// The response violates the protocol.
    #[display("platform answer malformed: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The lease no longer exists.
    #[display("the lease has expired")]
    LeaseExpired,
}

impl Error {
    /// Whether a write may have taken effect despite the error.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        matches!(self, Self::Uncertain(_) | Self::Malformed(_))
    }
}
