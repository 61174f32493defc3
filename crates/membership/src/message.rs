//! Messages between machines.

use core::net::SocketAddr;

use crate::Member;
use agatemill_core::id;

/// A message of one machine to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: id::Host,
    /// What is asked or answered.
    pub kind: Kind,
    /// Number that ties an answer to its question.
    pub sequence: u64,
    /// Updates of members.
    pub members: Vec<Member>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Asks for a [`Kind::Ack`].
    Ping,
    /// Answers a ping, or a ping request whose target has answered.
    Ack,
    /// Asks the receiver to ping the target.
    PingRequest {
        /// Host to ping.
        target: id::Host,
    },
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Where to send it.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}
