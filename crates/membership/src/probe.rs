//! Outstanding probes.

use core::net::SocketAddr;
use core::time::Duration;

use agatemill_core::id;

/// A probe without an acknowledgement so far.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: id::Host,
    pub(crate) sequence: u64,
    pub(crate) started: Duration,
    /// Whether indirect probes have been requested.
    pub(crate) indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    /// Sequence number of the ping to the target.
    pub(crate) sequence: u64,
    /// Address of the requester.
    pub(crate) address: SocketAddr,
    /// Sequence number of the ping request.
    pub(crate) request_sequence: u64,
    pub(crate) expires: Duration,
}
