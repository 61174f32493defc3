//! What an observation says about a backend server.

use core::time::Duration;
use std::io;

use derive_more::Display;

/// How long new requests avoid a server after an observation: the platform removes the entry of a lost one after three
/// missed heartbeats, and an engine that restarts takes longer to load its layers.
pub const AVOIDANCE: Duration = Duration::from_secs(4);

/// An observation of a backend server that did not serve as expected.
///
/// None shows that the server has ended. A sound server may be silent for a second or more and then continue, and one that
/// has all the connections that it accepts refuses further ones. [`Suspicion`](crate::Suspicion) decides what follows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Evidence {
    /// It refused a connection: no process listens at its address, or the process accepts no further connections.
    #[display("it refuses connections")]
    Refused,
    /// The first engine of a path waits for it.
    #[display("requests wait for it")]
    Awaited,
    /// It did not respond in time, or a connection to it was not established in time.
    #[display("it is silent")]
    Silent,
}

impl Evidence {
    /// What an error says about the server to which a connection was opened; `None` if it says nothing about it.
    #[must_use]
    pub fn from_connect_error(kind: io::ErrorKind) -> Option<Self> {
        match kind {
            io::ErrorKind::ConnectionRefused => Some(Self::Refused),
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => Some(Self::Silent),
            _ => None,
        }
    }
}
