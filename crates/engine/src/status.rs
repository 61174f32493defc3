//! State and load reported by an engine.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;

/// State and load of an engine; JSON response of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The engine's name.
    pub server: id::Server,
    /// Model that the engine has loaded.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers that the engine has loaded; `None` while loading.
    pub layers: Option<layer::Range>,
    /// Whether the engine rejects new sessions.
    pub draining: bool,
    /// Number of running steps.
    pub running: u32,
    /// Number of queued steps.
    pub waiting: u32,
    /// Number of open sessions.
    pub sessions: u32,
    /// Batch size: the maximum number of concurrently running steps.
    pub capacity: u32,
    /// Age of the load values in milliseconds.
    pub age_ms: u64,
    /// Highest fencing number that the engine has seen in an order; 0 if the engine ignores fencing numbers.
    pub fence: Fence,
}
