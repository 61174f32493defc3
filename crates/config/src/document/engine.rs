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
