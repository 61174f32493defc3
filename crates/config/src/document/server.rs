//! Backend servers of plain services.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;

/// A backend server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the backend server.
    pub name: id::Server,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Zone of the backend server.
    pub zone: id::Zone,
}

impl Read for Server {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let address = reader.required("address");
        let zone = reader.required("zone");
        Some(Self {
            name: name?,
            address: address?,
            zone: zone?,
        })
    }
}
