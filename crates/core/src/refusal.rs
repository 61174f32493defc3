//! Refusals and failures reported to callers.

use core::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

use crate::Cause;
use crate::Outcome;
use crate::Phase;
use crate::Reason;

/// A refusal or failure reported to a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason} ({outcome}): {detail}")]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub reason: Reason,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// One human-readable sentence.
    pub detail: CompactString,
    /// Delay after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent to a backend server; its outcome is `not-run`.
    #[must_use]
    pub fn not_run(reason: Reason, detail: impl Into<CompactString>) -> Self {
        Self::new(reason, Phase::Received, Cause::Refused, detail)
    }

    /// Creates a failure in the given phase; [`Outcome::resolve`] determines its outcome.
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

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}
