//! Events that a generation sends to its caller.

use compact_str::CompactString;
use derive_more::Display;

/// Part of an answer. The last event is [`Event::End`]; an answer without it is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next token.
    Token {
        /// Index in the answer, from 0 and without gaps.
        index: u32,
        /// The token.
        id: u32,
        /// Its text.
        text: CompactString,
    },
    /// The answer is complete.
    End {
        /// Why the answer ended.
        reason: Finish,
        /// Token counts of the request.
        usage: Usage,
    },
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// The answer reached the maximum number of tokens that the caller requested.
    Length,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt; 0 if no engine has processed it.
    pub prompt: u32,
    /// Tokens of the answer, including those generated before a resumption.
    pub generated: u32,
}
