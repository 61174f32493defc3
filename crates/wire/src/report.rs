//! State that an entry reports to its control.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// State that an entry reports to the control on its host, every 500 ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Whether the entry serves callers.
    pub ready: bool,
    /// Whether the entry is stopping.
    pub draining: bool,
    /// Requests in progress.
    pub in_flight: u32,
    /// Generation that the entry has in force; 0 for none.
    pub generation: u64,
}
