//! What a generation gives to its caller.

use compact_str::CompactString;
use derive_more::Display;

/// Part of an answer. The last one is [`Event::End`]; an answer without it is not whole.
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
    /// The answer is whole.
    End {
        /// Why it ended here.
        reason: Finish,
        /// What it took.
        usage: Usage,
    },
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It has as many tokens as the caller asked for at most.
    Length,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt; 0 when no engine has read it.
    pub prompt: u32,
    /// Tokens of the answer, those before a resumption included.
    pub generated: u32,
}
