//! Load reports of engines.

use core::time::Duration;

use agatemill_core::id;
use agatemill_core::layer;

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Model that it has loaded.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers that it has loaded; `None` while it loads.
    pub layers: Option<layer::Range>,
    /// Whether it takes no new sessions.
    pub draining: bool,
    /// Open sessions, those of other entries included.
    pub sessions: u32,
    /// When the engine counted them; earlier than the arrival, because reports lag.
    pub counted: Duration,
}
