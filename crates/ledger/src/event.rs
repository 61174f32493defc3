//! Results of calls to the key-value service.

use crate::record::Found;
use agatemill_core::number::Revision;

/// Result of a read or write of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect, with this revision.
    Written(Revision),
    /// The key had another revision than expected.
    Conflict(Option<Found>),
    /// The key was read.
    Read(Option<Found>),
    /// The write had no effect.
    Refused,
    /// The write may have taken effect or may still do so.
    Uncertain,
    /// The read failed.
    ReadFailed,
    /// The write had no effect, because its lease has expired.
    LeaseExpired,
    /// The value of the key is not a valid record.
    Unreadable,
}
