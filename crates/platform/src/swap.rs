//! Results of compare-and-swap.

use crate::Entry;
use agatemill_core::number::Revision;

/// Result of a compare-and-swap that the service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written, with this revision.
    Done(Revision),
    /// The key had another revision; its entry now, or `None` when it is absent.
    Conflict(Option<Entry>),
}
