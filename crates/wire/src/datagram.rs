//! Gossip datagrams.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Count;
use crate::Member;
use agatemill_core::id;

/// Maximum size of a datagram in bytes; below the usual Ethernet payload, so that IP does not fragment it.
pub const MAX_BYTES: usize = 1_400;

/// A gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Digest prefix of the environment's name; datagrams of other environments are dropped.
    pub environment: u64,
    /// Sender.
    pub from: id::Host,
    /// Request or reply.
    pub kind: Kind,
    /// Number that matches a reply to its request.
    pub sequence: u64,
    /// Latest generation that the sender has.
    pub generation: u64,
    /// Milliseconds since the platform confirmed that generation; `None` when the sender knows of no
    /// confirmation.
    pub confirmed_ms: Option<u64>,
    /// Revision of the sender's list of leaving hosts; 0 for none.
    pub hosts: u64,
    /// Membership updates.
    pub members: Vec<Member>,
}

/// Request or reply of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests an [`Kind::Ack`].
    Ping,
    /// Acknowledges a ping, or a ping request once its target has acknowledged.
    Ack,
    /// Requests an indirect ping: the receiver pings the target.
    PingRequest {
        /// Host to ping.
        target: id::Host,
    },
    /// Requests a [`Kind::Held`].
    Ask,
    /// Reports the generation that the sender has in force.
    Held {
        /// Generation of its entry, or else of its control.
        generation: u64,
    },
    /// Requests a [`Kind::Counted`].
    Count {
        /// The generation to count.
        generation: u64,
    },
    /// Reports how many members of the sender's zone have the generation in force.
    Counted(Count),
}

/// Why a datagram cannot be encoded or decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The bytes are not a datagram.
    #[display("malformed gossip datagram: {_0}")]
    Malformed(#[error(not(source))] postcard::Error),
    /// The datagram exceeds [`MAX_BYTES`].
    #[display("gossip datagram of {bytes} bytes is over {MAX_BYTES}")]
    TooLarge {
        /// Length of the datagram.
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
