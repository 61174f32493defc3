//! A step of a session on an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::Input;
use agatemill_core::Priority;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;

/// Request to run a range of layers for one or more positions of a session.
///
/// Body of `POST /v1/step`, encoded in MessagePack.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Session whose state the step extends. Each attempt has its own session.
    pub session: id::Session,
    /// Attempt that the session belongs to.
    pub attempt: Attempt,
    /// Model to run.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers to run; the engine must have loaded all of them.
    pub layers: layer::Range,
    /// Position of the first token of the input. Invariant: the number of positions that these layers
    /// have already run in this session; 0 creates the session.
    pub position: Position,
    /// Input of the layers.
    pub input: Input,
    /// Whether the engine runs the last layer and returns a token instead of an activation.
    pub last: bool,
    /// Scheduling priority among queued steps.
    pub priority: Priority,
    /// Time left until the deadline of the reply in milliseconds.
    pub deadline_ms: u64,
    /// Sampling temperature; 0 means greedy decoding.
    pub temperature: f32,
    /// Sampling seed.
    pub seed: Option<u64>,
}
