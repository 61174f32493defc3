//! A refusal or failure as a caller sees it.

use core::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

use crate::Cause;
use crate::Outcome;
use crate::Phase;
use crate::Reason;

/// A refusal or failure as a caller sees it.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason} ({outcome}): {detail}")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// One sentence for a person.
    pub detail: CompactString,
    /// When a new try may succeed, if that is known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal before anything was sent to a backend server; its outcome is `not-run`.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<CompactString>) -> Self {
        Self::new(reason, Phase::Received, Cause::Refused, detail)
    }

    /// A failure in the given phase, with the outcome that [`Outcome::resolve`] gives.
    #[must_use]
    pub fn new(
        reason: Reason,
        phase: Phase,
        cause: Cause,
        detail: impl Into<CompactString>,
    ) -> Self {
        Self {
            reason,
            outcome: Outcome::resolve(phase, cause),
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// The same refusal with a time after which a new try may succeed.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
