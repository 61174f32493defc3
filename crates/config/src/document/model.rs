//! Models.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;
use agatemill_core::quantity::Size;

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use.
    pub name: id::Model,
    /// Version.
    pub version: id::Version,
    /// Number of layers, at least 1.
    pub layers: u32,
    /// Size of the activation of one token between two stages.
    pub activation: Size,
}

impl Read for Model {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let version = reader.required("version");
        let layers = reader.required("layers");
        let activation = reader.required("activation");
        Some(Self {
            name: name?,
            version: version?,
            layers: layers?,
            activation: activation?,
        })
    }
}
