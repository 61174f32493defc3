//! The history of the platform's store.
//!
//! A store that is restored from an older copy loses the changes since, and gives their revisions out again. It names an
//! era in its responses, which rises with each restore: a revision or a lease means something only within its era.

use derive_more::Display;

use agatemill_core::number::Era;
use agatemill_core::number::Fence;
use agatemill_core::number::Revision;

/// Bits of a fencing number that hold the revision, enough for 80 years of 400 changes a second. Eras up to 8,191 keep
/// the number within the integers that a double holds.
const FENCE_REVISION_BITS: u32 = 40;

/// A state of the store. The order is that of time: a later era comes after each revision of an earlier one.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{era}/{revision}")]
pub struct Cursor {
    /// Era of the store.
    pub era: Era,
    /// Revision within the era.
    pub revision: Revision,
}

impl Cursor {
    /// The fencing number of a leadership that began at this state. It rises also across a restore.
    #[must_use]
    pub fn fence(self) -> Fence {
        Fence((self.era.0 << FENCE_REVISION_BITS) | self.revision.0)
    }
}

/// The latest era of the store that a host knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// `None` until a response names an era.
    era: Option<Era>,
}

/// What the era that a response names says about the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It is of the latest known era.
    Current,
    /// It names no era that can be read, and counts as one of the latest known era.
    Unnamed,
    /// It is the first of a later era: the store was restored.
    Restored {
        /// The era before.
        from: Era,
        /// The later era.
        to: Era,
    },
    /// It is of an earlier era: it was sent before the store was restored.
    Late {
        /// The era that it names.
        named: Era,
        /// The latest known era.
        known: Era,
    },
}

impl History {
    /// The latest known era, 0 for a store that names none.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Records the era that a response names, if it names one.
    pub fn observe(&mut self, named: Option<Era>) -> Observation {
        let Some(named) = named else {
            return match self.era {
                Some(_) => Observation::Unnamed,
                None => Observation::Current,
            };
        };
        let known = *self.era.get_or_insert(named);
        if named < known {
            return Observation::Late { named, known };
        }
        self.era = Some(named);
        if named > known {
            Observation::Restored {
                from: known,
                to: named,
            }
        } else {
            Observation::Current
        }
    }
}
