//! What hosts tell each other of servers that may be lost.

use core::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// Servers that a host suspects. A host that receives it queries them itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Addresses of the servers.
    pub servers: Vec<SocketAddrV4>,
}
