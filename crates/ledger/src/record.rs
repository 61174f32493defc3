//! Records in the key-value service.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::Answer;
use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_core::number::Revision;

/// Largest record in bytes, somewhat under the 1 MB that the key-value service stores.
pub const MAX_BYTES: usize = 990_000;

/// Record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The claim that wrote it.
    pub owner: Owner,
    /// Digest of the request.
    pub body: Digest,
    /// Milliseconds that the call had until its deadline when it was claimed, for operators.
    pub time_left_ms: u64,
    /// How far the call is.
    pub state: State,
}

/// Names a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The entry host.
    pub host: id::Host,
    /// Unique among all claims, because two claims that take each other's record for their own would
    /// both send.
    pub claim: CompactString,
}

/// How far a call is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its owner may send it or has sent it.
    Begun,
    /// It ran. The answer is `None` when it was too large to keep.
    Done(Option<Answer>),
    /// It was not sent and its owner will not send it.
    NotRun,
}

/// A record as read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Found {
    /// The record.
    pub record: Record,
    /// Revision of its key.
    pub revision: Revision,
}

impl Record {
    /// The same record in another state.
    #[must_use]
    pub fn with(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// The stored form. An answer that makes it larger than [`MAX_BYTES`] is left out.
    ///
    /// # Panics
    ///
    /// Never: a record always has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let bytes = serde_json::to_vec(self).expect("a record always has a JSON form");
        match self.state {
            State::Done(Some(_)) if bytes.len() > MAX_BYTES => {
                self.with(State::Done(None)).encode()
            }
            _ => bytes,
        }
    }
}
