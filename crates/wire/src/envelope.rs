//! Wire form of a configuration document.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;
use agatemill_core::number::Generation;

/// Wire form of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    generation: u64,
    write: CompactString,
    digest: [u8; 32],
    author: CompactString,
    text: String,
}

/// Error for an envelope whose text does not match its digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("configuration {generation}: the text does not match its digest")]
pub struct Mismatch {
    /// Generation of the document.
    pub generation: Generation,
}

impl From<&agatemill_config::Envelope> for Envelope {
    fn from(envelope: &agatemill_config::Envelope) -> Self {
        Self {
            generation: envelope.generation.0,
            write: envelope.write.clone(),
            digest: *envelope.digest.as_bytes(),
            author: envelope.author.clone(),
            text: envelope.text.clone(),
        }
    }
}

impl TryFrom<Envelope> for agatemill_config::Envelope {
    type Error = Mismatch;

    fn try_from(wire: Envelope) -> Result<Self, Mismatch> {
        let generation = Generation(wire.generation);
        if Digest::of(wire.text.as_bytes()).as_bytes() != &wire.digest {
            return Err(Mismatch { generation });
        }
        Ok(Self::new(generation, wire.write, wire.author, wire.text))
    }
}
