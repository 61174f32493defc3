//! Model engines.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::quantity::Rate;

/// A backend server that runs a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Name of the backend server.
    pub name: id::Server,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Half that the engine belongs to.
    pub half: id::Half,
    /// Zone of the engine.
    pub zone: id::Zone,
    /// Kind of the engine's accelerators.
    pub accelerator: id::Accelerator,
    /// Model that the engine serves.
    pub model: id::Model,
    /// Version of the model.
    pub version: id::Version,
    /// Layers that the engine serves.
    pub layers: layer::Range,
    /// Token positions that the engine processes per second with full batches, for its whole layer range.
    pub throughput: Rate,
    /// Maximum number of steps that the engine runs concurrently.
    pub batch: u32,
    /// Whether the engine rejects orders with an old fencing token.
    #[serde(default)]
    pub fencing: bool,
}

impl Read for Engine {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let address = reader.required("address");
        let half = reader.required("half");
        let zone = reader.required("zone");
        let accelerator = reader.required("accelerator");
        let model = reader.required("model");
        let version = reader.required("version");
        let layers = reader.required("layers");
        let throughput = reader.required("throughput");
        let batch = reader.required("batch");
        let fencing = reader.optional("fencing", false);
        Some(Self {
            name: name?,
            address: address?,
            half: half?,
            zone: zone?,
            accelerator: accelerator?,
            model: model?,
            version: version?,
            layers: layers?,
            throughput: throughput?,
            batch: batch?,
            fencing: fencing?,
        })
    }
}
