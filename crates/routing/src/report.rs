//! Load reports of engines.

use core::time::Duration;

use agatemill_core::id;
use agatemill_core::layer;

/// A status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Loaded model.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Loaded layers; `None` while the engine loads.
    pub layers: Option<layer::Range>,
    /// Whether the engine accepts no new sessions.
    pub draining: bool,
    /// Open sessions, including those of other entries.
    pub sessions: u32,
    /// Time at which the engine counted the sessions; earlier than the report's arrival, because reports lag.
    pub counted: Duration,
}
