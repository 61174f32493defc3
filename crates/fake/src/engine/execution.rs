//! Record of the steps that a stand-in engine ran.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;

/// One step that an engine ran; `GET /fake/executions` answers a JSON list of them in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Number of the execution on this engine, from 0.
    pub order: u64,
    /// Session that it extended.
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
