//! Gossip datagrams.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Count;
use crate::Member;
use agatemill_core::id;

/// Largest datagram in bytes; stays below the usual Ethernet payload, so that it is not fragmented.
pub const MAX_BYTES: usize = 1_400;

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Digest prefix of the environment; datagrams of other environments are dropped.
    pub environment: u64,
    /// Sender.
    pub from: id::Host,
    /// What is asked or answered.
    pub kind: Kind,
    /// Number that ties an answer to its question.
    pub sequence: u64,
    /// Newest generation that the sender holds.
    pub generation: u64,
    /// Milliseconds since the platform confirmed that generation; `None` when that was never heard of.
    pub confirmed_ms: Option<u64>,
    /// Revision of the list of leaving hosts that the sender holds; 0 for none.
    pub hosts: u64,
    /// News of members.
    pub members: Vec<Member>,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for an [`Kind::Ack`].
    Ping,
    /// Answers a ping, or a ping request once its target has answered.
    Ack,
    /// Asks the receiver to ping the target.
    PingRequest {
        /// Host to ping.
        target: id::Host,
    },
    /// Asks for [`Kind::Held`].
    Ask,
    /// Tells which generation the sender has in force.
    Held {
        /// That of its entry, or else of its control.
        generation: u64,
    },
    /// Asks for [`Kind::Counted`].
    Count {
        /// The generation to count.
        generation: u64,
    },
    /// Tells how many members of the sender's zone have the generation in force.
    Counted(Count),
}

/// A datagram that cannot be decoded or encoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The bytes are not a datagram.
    #[display("malformed gossip datagram: {_0}")]
    Malformed(#[error(not(source))] postcard::Error),
    /// The datagram is over [`MAX_BYTES`].
    #[display("gossip datagram of {bytes} bytes is over {MAX_BYTES}")]
    TooLarge {
        /// Its length.
        bytes: usize,
    },
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// [`Invalid::TooLarge`] when it does not fit; the sender then leaves out members.
    pub fn encode(&self) -> Result<Vec<u8>, Invalid> {
        let bytes = postcard::to_stdvec(self).map_err(Invalid::Malformed)?;
        if bytes.len() > MAX_BYTES {
            return Err(Invalid::TooLarge { bytes: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// [`Invalid::Malformed`] when the bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Invalid> {
        postcard::from_bytes(bytes).map_err(Invalid::Malformed)
    }
}
