//! Messages between machines.

use core::net::SocketAddr;

use crate::Member;
use agatemill_core::id;

/// A message from one machine to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: id::Host,
    /// Purpose of the message.
    pub kind: Kind,
    /// Correlates an acknowledgement with its request.
    pub sequence: u64,
    /// Piggybacked membership updates.
    pub members: Vec<Member>,
}

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests a [`Kind::Ack`].
    Ping,
    /// Acknowledges a ping, or a ping request whose target has responded.
    Ack,
    /// Requests an indirect probe: the receiver pings the target.
    PingRequest {
        /// Host to ping.
        target: id::Host,
    },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Destination address.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}
