//! Availability zones.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: id::Zone,
    /// Region of the zone.
    pub region: id::Region,
}

impl Read for Zone {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let region = reader.required("region");
        Some(Self {
            name: name?,
            region: region?,
        })
    }
}
