//! Verdicts against parts of prompts.

use core::time::Duration;

use crate::prompt::Prompt;
use crate::prompt::Segment;

/// Time for which a condemned part is rejected. Afterwards its requests reach engines again, which may have been
/// repaired; a part that still crashes them costs a few engines, one after the other.
pub const SENTENCE: Duration = Duration::from_mins(10);

/// The verdict against a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// When the part was condemned.
    pub since: Duration,
    /// Suspected parts that the requests had at every crash, each of which may be the cause instead.
    pub partners: Vec<Segment>,
}

impl Verdict {
    /// Whether requests with this prompt are rejected: no part that may be the cause instead is missing.
    #[must_use]
    pub fn covers(&self, prompt: &Prompt) -> bool {
        self.partners
            .iter()
            .all(|partner| prompt.contains(*partner))
    }

    /// When the verdict ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.since + SENTENCE
    }

    /// Adds another verdict against the same part. Returns whether it leaves fewer other causes.
    ///
    /// The earliest verdict counts, so that hosts which learn of it later do not prolong it.
    pub fn merge(&mut self, other: &Self) -> bool {
        self.since = self.since.min(other.since);
        let before = self.partners.len();
        self.partners
            .retain(|partner| other.partners.contains(partner));
        self.partners.len() < before
    }
}
