//! Decisions of a promotion, without I/O.
//!
//! The platform compares one key with each write, so the source cannot be locked while the target is
//! written. Guaranteed is: the target changes only by compare-and-swap from the revision that was read;
//! the text is that of the source's revision that was read; the source had that revision at a moment after
//! the target was read. A source that moves between that moment and the write is found by the read after
//! the write and reported as a conflict; the target has the older document then.

use crate::apply::Current;
use agatemill_core::number::Revision;

/// What the source shows after the target was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The promoted document was in force in the source at the write.
    Same,
    /// The source moved before the write, or this cannot be excluded.
    Moved,
}

/// Compares the source before and after the write of the target at revision `written`; `None` stands for
/// a write whose revision is not known.
#[must_use]
pub fn judge(before: &Current, after: &Current, written: Option<Revision>) -> Source {
    if before.revision == after.revision {
        return Source::Same;
    }
    // Revisions count all changes of the store, so they order the change of the source and the write.
    // Only the last change of the source is visible; a second one before it shows in the generation.
    let later = written.is_some_and(|written| after.revision > written);
    let once = match (&before.envelope, &after.envelope) {
        (Some(before), Some(after)) => before.generation.next() == after.generation,
        _ => false,
    };
    if later && once {
        Source::Same
    } else {
        Source::Moved
    }
}
