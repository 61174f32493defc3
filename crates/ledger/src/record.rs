//! Records in the key-value service.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::Answer;
use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_core::number::Revision;

/// Maximum record size in bytes, slightly below the 1 MB limit of the key-value service.
pub const MAX_BYTES: usize = 990_000;

/// Record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The claim that wrote the record.
    pub owner: Owner,
    /// Digest of the request.
    pub body: Digest,
    /// Milliseconds from the claim to the call's deadline; informational, for operators.
    pub time_left_ms: u64,
    /// State of the call.
    pub state: State,
}

/// Identifies a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The entry host.
    pub host: id::Host,
    /// Unique among all claims: two claims with the same id would each treat the other's record as their own, and both
    /// would send.
    pub claim: CompactString,
}

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner may send the call or has sent it.
    Begun,
    /// The call ran. The answer is `None` if it was too large to store.
    Done(Option<Answer>),
    /// The call was not run, and its owner will not send it.
    NotRun,
}

/// A record as read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Found {
    /// The record.
    pub record: Record,
    /// Revision of its key.
    pub revision: Revision,
}

impl Record {
    /// Returns a copy of the record in another state.
    #[must_use]
    pub fn with(&self, state: State) -> Self {
        Self {
            owner: self.owner.clone(),
            body: self.body,
            time_left_ms: self.time_left_ms,
            state,
        }
    }

    /// Encodes the record for storage. An answer that makes it larger than [`MAX_BYTES`] is omitted.
    ///
    /// # Panics
    ///
    /// Never: a record always has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let without_answer = || self.with(State::Done(None)).encode();
        // Encoding a body that does not fit takes longer than the write of the record without it.
        if let State::Done(Some(answer)) = &self.state
            && answer.encoded_body_bytes() > MAX_BYTES
        {
            return without_answer();
        }
        let bytes = serde_json::to_vec(self).expect("a record always has a JSON form");
        match self.state {
            State::Done(Some(_)) if bytes.len() > MAX_BYTES => without_answer(),
            _ => bytes,
        }
    }
}
