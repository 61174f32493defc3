//! Quarantined parts of prompts.

use core::time::Duration;

use crate::prompt::Prompt;
use crate::prompt::Segment;

/// Time for which requests with a quarantined part are rejected. Afterwards its requests reach engines again, which may have been
/// repaired; a part that still crashes them costs a few engines, one after the other.
pub const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// The quarantine of one part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When the part was quarantined.
    pub since: Duration,
    /// Suspected parts that the requests had at every crash, each of which may be the cause instead.
    pub partners: Vec<Segment>,
}

impl Entry {
    /// Whether requests with this prompt are rejected: no part that may be the cause instead is missing.
    #[must_use]
    pub fn covers(&self, prompt: &Prompt) -> bool {
        self.partners
            .iter()
            .all(|partner| prompt.contains(*partner))
    }

    /// When the quarantine ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.since + QUARANTINE_DURATION
    }

    /// Adds another entry for the same part. Returns whether it leaves fewer other causes.
    ///
    /// The earliest entry counts, so that hosts which learn of it later do not prolong it.
    pub fn merge(&mut self, other: &Self) -> bool {
        self.since = self.since.min(other.since);
        let before = self.partners.len();
        self.partners
            .retain(|partner| other.partners.contains(partner));
        self.partners.len() < before
    }
}
