//! Errors of calls to an engine.

use derive_more::Display;
use derive_more::Error;

use crate::Failure;

/// Error of a call to an engine.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection could be opened; the call did not run.
    #[display("engine: {_0}")]
    Connect(agatemill_http::Error),
    /// The engine returned an error; [`Failure::code`] says whether the call ran.
    #[display("{_0}")]
    Refused(Failure),
    /// The call timed out; it may have run.
    #[display("engine: no answer in time")]
    TimedOut,
    /// The connection broke or the response exceeds the size limit; the call may have run.
    #[display("engine: {_0}")]
    Lost(agatemill_http::Error),
    /// The response violates the protocol; the call may have run.
    #[display("engine: answer outside the protocol: {_0}")]
    Malformed(#[error(not(source))] String),
}

impl Error {
    /// Whether the call certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Connect(_) => true,
            Self::Refused(failure) => failure.code.is_not_run(),
            Self::TimedOut | Self::Lost(_) | Self::Malformed(_) => false,
        }
    }
}

impl From<agatemill_http::Error> for Error {
    fn from(error: agatemill_http::Error) -> Self {
        match error {
            agatemill_http::Error::TimedOut => Self::TimedOut,
            error if error.is_not_sent() => Self::Connect(error),
            error => Self::Lost(error),
        }
    }
}
