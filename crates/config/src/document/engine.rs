//! Model engines.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::quantity::Rate;

/// A backend server that runs a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Name of the backend server.
    pub name: id::Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// Half that it belongs to.
    pub half: id::Half,
    /// Zone that it is in.
    pub zone: id::Zone,
    /// Kind of its accelerators.
    pub accelerator: id::Accelerator,
    /// Model that it serves.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers that it holds.
    pub layers: layer::Range,
    /// Token positions that it runs in each second with full batches, for one layer range as a whole.
    pub throughput: Rate,
    /// Steps that it runs at once at most.
    pub batch: u32,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
}
