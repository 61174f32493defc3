//! Results of compare-and-swap calls.

use crate::Entry;
use agatemill_core::number::Revision;

/// Result of a compare-and-swap call to which the service responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written at this revision.
    Done(Revision),
    /// The key has another revision: its current entry, or `None` when the key is absent.
    Conflict(Option<Entry>),
}
