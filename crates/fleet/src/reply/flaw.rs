//! Why a response cannot be passed on to the caller.

use core::fmt;

/// Why a response cannot be passed on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// It belongs to another attempt, or names none.
    OtherAttempt,
    /// It is a success without the proof that it comes from the backend server.
    Unsealed,
    /// Its status tells callers that the request did not run, which the server does not state.
    Unconfirmed,
}

impl Flaw {
    /// The stable text form, for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherAttempt => "other_attempt",
            Self::Unsealed => "unsealed",
            Self::Unconfirmed => "unconfirmed_not_run",
        }
    }
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
