//! Hosts that the platform's list marks as leaving.

use core::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;

/// Leaving hosts as of one revision of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// Revision of the platform's list; 0 when no list was read.
    pub revision: u64,
    /// Hosts that are leaving.
    pub hosts: Vec<Host>,
}

/// A host that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: id::Host,
    /// Address of the host.
    pub address: IpAddr,
}
