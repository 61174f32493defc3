//! Probes in progress.

use core::net::SocketAddr;
use core::time::Duration;

use agatemill_core::id;

/// A probe that has not been answered.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: id::Host,
    pub(crate) sequence: u64,
    pub(crate) started: Duration,
    /// Whether other members have been asked to probe the target.
    pub(crate) indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    /// Number of the ping to the target.
    pub(crate) sequence: u64,
    /// Who asked, and the number of its request.
    pub(crate) address: SocketAddr,
    pub(crate) asked: u64,
    pub(crate) expires: Duration,
}
