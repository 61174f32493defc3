//! Quarantined parts that came together.

use core::time::Duration;

use crate::prompt::Segment;
use crate::quarantine::entry::QUARANTINE_DURATION;

/// Quarantined parts of prompts, one of which crashes engines, in the form in which it is told to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// One of the parts. Its quarantine has the same effect as that of the others.
    pub segment: Segment,
    /// The other parts.
    pub partners: Vec<Segment>,
    /// When it was quarantined.
    pub since: Duration,
}

impl Group {
    /// When the quarantine ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.since + QUARANTINE_DURATION
    }
}
