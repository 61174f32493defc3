//! Links between availability zones.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

/// A symmetric link between two zones. A zone may have a link to itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One zone.
    pub from: id::Zone,
    /// The other zone.
    pub to: id::Zone,
    /// One-way latency.
    pub latency: Time,
    /// Bandwidth in bytes per second.
    pub bandwidth: Size,
}

impl Read for Link {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let from = reader.required("from");
        let to = reader.required("to");
        let latency = reader.required("latency");
        let bandwidth = reader.required("bandwidth");
        Some(Self {
            from: from?,
            to: to?,
            latency: latency?,
            bandwidth: bandwidth?,
        })
    }
}
