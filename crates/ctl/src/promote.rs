//! Conflict detection of a promotion, without I/O.
//!
//! The platform compares only one key with each write, so the source cannot be locked while the target is written. A
//! promotion guarantees that the target changes only by compare-and-swap from the revision that was read, that its text
//! is that of the source revision that was read, and that the source had this revision at some moment after the target
//! was read. The read after the write detects a change of the source between that moment and the write. The change is
//! reported as a conflict, and the target has the older document.

use crate::apply::Snapshot;
use agatemill_core::number::Revision;

/// State of the source at the write of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The promoted document was still in force.
    Unchanged,
    /// The source changed before the write, or this cannot be ruled out.
    Changed,
}

/// Compares the source before and after the write of the target at revision `written`, which is `None` if it is not
/// known.
#[must_use]
pub fn compare_source(before: &Snapshot, after: &Snapshot, written: Option<Revision>) -> Source {
    if before.revision == after.revision {
        return Source::Unchanged;
    }
    // Revisions count all changes of the store, so they order the change of the source and the write. Only the last
    // change of the source is visible; the generation reveals an earlier one.
    let is_after_write = written.is_some_and(|written| after.revision > written);
    let is_single_change = match (&before.envelope, &after.envelope) {
        (Some(before), Some(after)) => before.generation.next() == after.generation,
        _ => false,
    };
    if is_after_write && is_single_change {
        Source::Unchanged
    } else {
        Source::Changed
    }
}
