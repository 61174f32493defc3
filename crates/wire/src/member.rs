//! A member of the system on the wire.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;

/// What one control knows of a host, on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Zone of the host.
    pub zone: id::Zone,
    /// Identifies one run of the control process, so that a restarted host is newer than its past.
    pub run: u64,
    /// Raised by the member to refute a suspicion.
    pub incarnation: u64,
    /// Raised by the member with each change of the fields below.
    pub revision: u64,
    /// Where its control takes calls.
    pub control: SocketAddr,
    /// Where its control takes datagrams.
    pub gossip: SocketAddr,
    /// Where its entry takes callers, if it runs.
    pub entry: Option<SocketAddr>,
    /// What callers may expect of its entry.
    pub service: Service,
    /// Whether it is thought to be alive.
    pub state: State,
}

/// What callers may expect of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Service {
    /// No entry runs, or it is not ready.
    #[default]
    Absent,
    /// The entry serves callers.
    Ready,
    /// The entry finishes what it has and takes no new addresses.
    Draining,
}

/// Whether a member is thought to be alive; a later state beats an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer and may refute this.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It has said that it leaves.
    Left,
}
