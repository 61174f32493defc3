//! Answers of backend servers.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// The answer of a backend server, as stored for replay to repeats of the call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers to replay.
    pub headers: Vec<Header>,
    /// Body; encoded as base64 in the record.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: Vec<u8>,
}

/// A header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Header {
    /// Name.
    pub name: CompactString,
    /// Value.
    pub value: CompactString,
}

impl Answer {
    /// Size of the encoded body, in bytes.
    #[must_use]
    pub fn encoded_body_bytes(&self) -> usize {
        self.body.len().div_ceil(3) * 4
    }
}

fn encode<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(body))
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD.decode(text).map_err(D::Error::custom)
}
