//! Quarantined parts of prompts.

use core::time::Duration;

use crate::prompt::Segment;
use crate::quarantine::suspects::Memo;
use crate::quarantine::suspects::Suspects;

/// Time for which requests with a quarantined part are rejected. Afterwards its requests reach engines again, which may have been
/// repaired; a part that still crashes them costs a few engines, one after the other.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// The quarantine of one part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When the part was quarantined.
    pub since: Duration,
    /// Parts that the requests had at every crash, each of which may be the cause instead: the part itself, and its partners.
    /// Some may have turned out to be healthy since.
    pub suspects: Suspects,
}

impl Entry {
    /// Creates the entry of a part with these partners.
    #[must_use]
    pub fn new(segment: Segment, partners: &[Segment], since: Duration) -> Self {
        Self {
            since,
            suspects: partners.iter().copied().chain([segment]).collect(),
        }
    }

    /// When the quarantine ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.since + QUARANTINE_DURATION
    }

    /// Adds another entry for the same part. Returns whether it leaves fewer other causes.
    ///
    /// The earliest entry counts, so that hosts which learn of it later do not prolong it.
    pub fn merge(&mut self, other: &Self, intersections: &mut Memo) -> bool {
        self.since = self.since.min(other.since);
        let before = self.suspects.clone();
        self.suspects = intersections.get(&before, &other.suspects);
        !self.suspects.is_clone_of(&before)
    }
}
