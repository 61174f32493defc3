//! Orders from the planner to an engine.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;

/// An order of the planner; JSON body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the planner's term.
    pub fence: Fence,
    /// Action to carry out.
    pub action: Action,
}

/// Action that an engine carries out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum Action {
    /// Load layers of a model from the weight store.
    Load {
        /// The model.
        model: id::Model,
        /// Its version.
        version: id::Version,
        /// The layers.
        layers: layer::Range,
        /// Adapter to load in addition, if any.
        adapter: Option<CompactString>,
    },
    /// Stop accepting new sessions.
    Drain,
    /// Accept new sessions again.
    Resume,
}
