//! Errors of HTTP requests.

use std::io;

use derive_more::Display;
use derive_more::Error;

use crate::Invalid;

/// Error of a request without a complete response.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection could be opened; the server has not received the request. The kind of the error says why.
    #[display("connection failed: {_0}")]
    Connect(io::Error),
    /// The connection broke; the server may have received the request.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The response did not arrive in time; the server may have received the request.
    #[display("no answer in time")]
    TimedOut,
    /// The server sent what is no response; it may have received the request. The connection is closed.
    #[display("not a response: {_0}")]
    Invalid(#[error(not(source))] Invalid),
    /// The body of the response exceeds the limit that the caller set.
    #[display("the answer is over the limit of {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The memory for buffered responses is used up.
    #[display("no memory for the answer, {used} bytes are buffered")]
    BuffersFull {
        /// Bytes of all responses that are buffered.
        used: usize,
    },
}

impl Error {
    /// Whether the server cannot have received the request.
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}
