//! Results of calls to the key-value service.

use crate::record::Found;
use agatemill_core::number::Revision;

/// What the key-value service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The write took effect, with this revision.
    Written(Revision),
    /// The key had another revision than expected.
    Conflict(Option<Found>),
    /// The key was read.
    Read(Option<Found>),
    /// A write had no effect.
    Refused,
    /// A write may have taken effect or may still do so.
    Uncertain,
    /// A read gave no result.
    ReadFailed,
    /// A write had no effect, because its lease has ended.
    LeaseLapsed,
    /// The key holds something that is not a record.
    Unreadable,
}
