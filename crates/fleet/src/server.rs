//! Backend servers as listed by the platform.

use core::net::SocketAddrV4;

use compact_str::CompactString;

use crate::tally;
use agatemill_core::id;
use agatemill_core::layer;

/// A backend server as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Name of this incarnation; a server may restart under the same name.
    pub id: id::Server,
    /// Its key in the load that hosts exchange; computed once, since every choice of a path reads it.
    pub key: tally::Key,
    /// Milliseconds since the Unix epoch at which this incarnation started; 0 when unknown.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Address that it listens on.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: id::Zone,
    /// Whether it accepts new requests.
    pub state: State,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Kind of accelerator; `None` for servers without one.
    pub accelerator: Option<CompactString>,
    /// Layers that it holds; `None` while it is empty.
    pub layers: Option<layer::Range>,
    /// Placement orders that it has accepted since its start.
    pub orders: u64,
}

/// How far a backend server has come by what it writes of itself. Of two descriptions of a server, the one with the later
/// progress is newer; the order is that of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Progress {
    /// Milliseconds since the Unix epoch at which it started.
    pub born_ms: u64,
    /// Placement orders that it had accepted since.
    pub orders: u64,
}

impl From<&Server> for Progress {
    fn from(server: &Server) -> Self {
        Self {
            born_ms: server.born_ms,
            orders: server.orders,
        }
    }
}

/// One life of a backend server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the server.
    pub server: id::Server,
    /// Milliseconds since the Unix epoch at which it started; 0 when unknown.
    pub born_ms: u64,
}

impl Instance {
    /// Whether `server`, which is listed at the address of this instance, is another one that was started there since.
    #[must_use]
    pub fn is_followed_by(&self, server: &Server) -> bool {
        let is_later = self.born_ms != 0 && server.born_ms > self.born_ms;
        server.id != self.server || is_later
    }
}

impl From<&Server> for Instance {
    fn from(server: &Server) -> Self {
        Self {
            server: server.id.clone(),
            born_ms: server.born_ms,
        }
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It finishes its running requests and shuts down.
    Draining,
}

impl Server {
    /// Whether hosts send requests to it: it is ready, and has the first layers of its model or is no engine.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        let has_first_layers = self.layers.is_some_and(|layers| layers.start() == 0);
        self.state == State::Ready && (self.accelerator.is_none() || has_first_layers)
    }

    /// Whether `other` is the same incarnation of the same server.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms == other.born_ms && self.address == other.address
    }

    /// Whether `other` has ended because this server was started later at its address. The platform lists a server that
    /// has ended until its lease ends, beside the one that was started in its place.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        self.address == other.address && self.id != other.id && self.born_ms > other.born_ms
    }
}
