//! Sets of parts of prompts that may have caused a crash.

pub mod memo;

use std::sync::Arc;

use crate::prompt::Segment;

pub use memo::Memo;

/// Parts of prompts, each of which may have caused a crash.
///
/// Each part of a prompt has a record of the crash, and the number of parts is not limited, so the records share the set:
/// clones are cheap and can be told from equal sets.
///
/// Invariant: in ascending order, without duplicates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspects(Arc<[Segment]>);

impl FromIterator<Segment> for Suspects {
    fn from_iter<I: IntoIterator<Item = Segment>>(segments: I) -> Self {
        let mut segments: Vec<Segment> = segments.into_iter().collect();
        segments.sort_unstable();
        segments.dedup();
        Self(segments.into())
    }
}

impl Suspects {
    /// The parts, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Segment> {
        self.0.iter().copied()
    }

    /// Whether a part is one of them.
    #[must_use]
    pub fn contains(&self, segment: Segment) -> bool {
        self.0.binary_search(&segment).is_ok()
    }

    /// Whether both are clones of one set.
    #[must_use]
    pub fn is_clone_of(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }

    /// The parts of both sets; a clone of this one if it has those of the other.
    #[must_use]
    pub fn union(&self, other: &Self) -> Self {
        if other.iter().all(|segment| self.contains(segment)) {
            return self.clone();
        }
        self.iter().chain(other.iter()).collect()
    }

    /// The parts that both sets have; a clone of this one if the other has all of its parts.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        if self.iter().all(|segment| other.contains(segment)) {
            return self.clone();
        }
        self.iter()
            .filter(|segment| other.contains(*segment))
            .collect()
    }
}
