//! Whether a request was executed, as reported to its caller.

use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Cause;
use crate::Phase;

/// Whether a request was executed, as reported to its caller in the header `Agatemill-Outcome`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed and its response is complete.
    #[display("complete")]
    Complete,
    /// The request was not executed and will not be; it may be retried.
    #[display("not-run")]
    NotRun,
    /// The request may have been executed; a non-idempotent one must not be retried with another key.
    #[display("unknown")]
    Unknown,
}

/// Error for a text that is not an outcome.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("an outcome is complete, not-run or unknown, found {found:?}")]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Self; 3] = [Self::Complete, Self::NotRun, Self::Unknown];

    /// The stable text form.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Derives the outcome of a request from its phase and the cause of its end.
    ///
    /// This is the only function that decides an outcome. It returns `NotRun` only if no backend server
    /// can have executed the request: before the first byte may have been sent, or when the backend
    /// server itself replied that it did not execute the request.
    #[must_use]
    pub fn resolve(phase: Phase, cause: Cause) -> Self {
        match (phase, cause) {
            (Phase::Answered, Cause::Finished) => Self::Complete,
            (Phase::Received | Phase::Admitted, _) | (Phase::Sent, Cause::Rejected) => Self::NotRun,
            (Phase::Sent | Phase::Answered, _) => Self::Unknown,
        }
    }
}

impl FromStr for Outcome {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let found = Self::ALL
            .into_iter()
            .find(|outcome| outcome.as_str() == text);
        found.ok_or_else(|| Invalid {
            found: CompactString::new(text),
        })
    }
}
