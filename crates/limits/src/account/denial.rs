//! Why a share is denied.

use derive_more::Display;
use derive_more::Error;

/// Why a share is denied, with the inputs of the decision.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "{reason}: {wanted} more bytes do not fit, {held} of {limit} are held, {owned} by the owner"
)]
pub struct Denial {
    /// The limit that is reached.
    pub reason: Reason,
    /// Bytes that were wanted in addition.
    pub wanted: usize,
    /// Bytes that are held of the part.
    pub held: usize,
    /// Size of the part.
    pub limit: usize,
    /// Bytes of the part that the owner with the most holds.
    pub owned: usize,
    /// Whether enough bytes are being returned by bodies that are ended, so that the share may fit in a moment.
    pub is_making_room: bool,
}

/// The limit that is reached.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// All bytes are held.
    #[display("full")]
    Full,
    /// The bytes left are for owners that hold less.
    #[display("owner")]
    Owner,
}
