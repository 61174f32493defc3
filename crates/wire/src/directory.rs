//! Addresses of entry hosts and of leaving hosts.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;

/// Entry hosts that callers may use now, and hosts whose backend servers are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Entry hosts that are ready and not suspected.
    pub places: Vec<Place>,
    /// Addresses of hosts that the platform's list marks as leaving.
    pub leaving: Vec<core::net::IpAddr>,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the host.
    pub host: id::Host,
    /// Zone of the host.
    pub zone: id::Zone,
    /// Address that callers connect to.
    pub address: SocketAddr,
}
