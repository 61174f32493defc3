//! Record of the steps that a fake engine ran.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;

/// A step that an engine ran. `GET /fake/executions` returns a JSON list of them in order of execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Sequence number of the execution on this engine, from 0.
    pub order: u64,
    /// Session of the step.
    pub session: id::Session,
    /// Attempt of the step.
    pub attempt: Attempt,
    /// Layers that ran.
    pub layers: layer::Range,
    /// First position.
    pub position: Position,
    /// Number of positions.
    pub count: u32,
}
