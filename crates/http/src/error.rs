//! Errors of requests.

use derive_more::Display;
use derive_more::Error;

/// Why a request has no whole answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection could be opened; the server has not seen the request.
    #[display("connection failed: {_0}")]
    Connect(#[error(not(source))] String),
    /// The connection broke; the server may have seen the request.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// No answer came in time; the server may have seen the request.
    #[display("no answer in time")]
    TimedOut,
    /// The answer's body is over the limit of the caller.
    #[display("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Whether the server cannot have seen the request.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
