//! Validation of replies against their steps.

use derive_more::Display;

use agatemill_engine::Output;
use agatemill_engine::Reply;
use agatemill_engine::Step;

/// How a reply differs from what its step requested.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Mismatch {
    /// The reply belongs to another session.
    #[display("session")]
    Session,
    /// The reply belongs to another attempt.
    #[display("attempt")]
    Attempt,
    /// The reply belongs to another position.
    #[display("position")]
    Position,
    /// The reply covers another number of positions.
    #[display("count")]
    Count,
    /// The reply is a token where an activation is expected, or the reverse.
    #[display("output")]
    Output,
}

impl Mismatch {
    /// The stable label value for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Session => "session",
            Self::Attempt => "attempt",
            Self::Position => "position",
            Self::Count => "count",
            Self::Output => "output",
        }
    }

    /// Returns the first difference, or `None` if the reply matches. `count` is the expected number of positions;
    /// if it is not known, the reply must have at least `min_count`.
    #[must_use]
    pub fn find(step: &Step, reply: &Reply, count: Option<u32>, min_count: u32) -> Option<Self> {
        let is_count_valid = match count {
            Some(count) => reply.count == count,
            None => reply.count >= min_count,
        };
        if reply.session != step.session {
            Some(Self::Session)
        } else if reply.attempt != step.attempt {
            Some(Self::Attempt)
        } else if reply.position != step.position {
            Some(Self::Position)
        } else if !is_count_valid {
            Some(Self::Count)
        } else if step.last != matches!(reply.output, Output::Token { .. }) {
            Some(Self::Output)
        } else {
            None
        }
    }
}
