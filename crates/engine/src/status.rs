//! State and load that an engine reports.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;

/// State and load of an engine; JSON answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The engine's name.
    pub server: id::Server,
    /// Model that the engine has loaded.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers that the engine has loaded; `None` while it loads.
    pub layers: Option<layer::Range>,
    /// Whether the engine takes no new sessions.
    pub draining: bool,
    /// Steps that run.
    pub running: u32,
    /// Steps that wait.
    pub waiting: u32,
    /// Open sessions.
    pub sessions: u32,
    /// Steps that run at once at most, the batch size.
    pub capacity: u32,
    /// Age of the load figures in milliseconds.
    pub age_ms: u64,
    /// Highest fencing number that the engine has seen in an order; 0 when it ignores them.
    pub fence: Fence,
}
