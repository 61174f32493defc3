//! Wire form of a membership record.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;

/// Wire form of what one control knows of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: id::Host,
    /// Zone of the host.
    pub zone: id::Zone,
    /// Identifies one run of the control process, so that a restarted host supersedes its earlier run.
    pub run: u64,
    /// Incremented by the member to refute a suspicion.
    pub incarnation: u64,
    /// Incremented by the member with each change of the fields below.
    pub revision: u64,
    /// Address on which its control accepts calls.
    pub control: SocketAddr,
    /// Address on which its control receives datagrams.
    pub gossip: SocketAddr,
    /// Address on which its entry accepts callers, if it runs.
    pub entry: Option<SocketAddr>,
    /// Availability of its entry to callers.
    pub service: Service,
    /// Liveness of the member.
    pub state: State,
}

/// Availability of an entry to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Service {
    /// No entry runs, or it is not ready.
    #[default]
    Absent,
    /// The entry serves callers.
    Ready,
    /// The entry finishes its requests in progress and is no longer listed for callers.
    Draining,
}

/// Liveness of a member; a later state overrides an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The member replies.
    #[default]
    Alive,
    /// The member did not reply and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}
