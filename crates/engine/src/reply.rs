//! Reply to a step.

use serde::Deserialize;
use serde::Serialize;

use crate::Output;
use agatemill_core::id;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;

/// Reply to a [`Step`](crate::Step), encoded in MessagePack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Session of the step.
    pub session: id::Session,
    /// Attempt of the step.
    pub attempt: Attempt,
    /// Position of the first token of the step.
    pub position: Position,
    /// Number of positions that the step ran, at least 1.
    pub count: u32,
    /// Number of those positions that were served from the prefix cache.
    pub cached: u32,
    /// Output of the step.
    pub output: Output,
}
