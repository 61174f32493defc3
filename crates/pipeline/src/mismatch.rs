//! Check of replies.

use derive_more::Display;

use agatemill_engine::Output;
use agatemill_engine::Reply;
use agatemill_engine::Step;

/// How a reply differs from what its step asked for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Mismatch {
    /// It belongs to another session.
    #[display("session")]
    Session,
    /// It belongs to another attempt.
    #[display("attempt")]
    Attempt,
    /// It belongs to another position.
    #[display("position")]
    Position,
    /// It covers another number of positions.
    #[display("count")]
    Count,
    /// It is a token where an activation is due, or the reverse.
    #[display("output")]
    Output,
}

impl Mismatch {
    /// The stable text form, for counters.
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

    /// The first difference; `None` when the reply fits. `count` is the number of positions, if it is known,
    /// and otherwise the reply must have at least `least`.
    #[must_use]
    pub fn find(step: &Step, reply: &Reply, count: Option<u32>, least: u32) -> Option<Self> {
        let counts = match count {
            Some(count) => reply.count == count,
            None => reply.count >= least,
        };
        if reply.session != step.session {
            Some(Self::Session)
        } else if reply.attempt != step.attempt {
            Some(Self::Attempt)
        } else if reply.position != step.position {
            Some(Self::Position)
        } else if !counts {
            Some(Self::Count)
        } else if step.last != matches!(reply.output, Output::Token { .. }) {
            Some(Self::Output)
        } else {
            None
        }
    }
}
