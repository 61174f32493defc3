//! Backend servers as the platform lists them.

use core::net::SocketAddrV4;

use compact_str::CompactString;

use crate::tally;
use agatemill_core::id;
use agatemill_core::layer;

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of this incarnation; a server may start again under the same name.
    pub id: id::Server,
    /// Its key in what hosts tell each other; computed once, since each choice of a path reads it.
    pub key: tally::Key,
    /// Milliseconds since the Unix epoch at which this incarnation started; 0 when unknown.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: id::Zone,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Kind of accelerator; `None` for servers without one.
    pub accelerator: Option<CompactString>,
    /// Layers that it holds; `None` while it is empty.
    pub layers: Option<layer::Range>,
    /// Placement orders that it has accepted since its start.
    pub orders: u64,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It finishes its work and leaves.
    Draining,
}

impl Server {
    /// Whether `other` is the same start of the same server.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }
}
