//! A document with its generation in an environment.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;
use agatemill_core::number::Generation;

/// A document in force, stored as the JSON value of the platform key `/agatemill/{environment}/configuration`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Generation of the document; a higher one is newer.
    pub generation: Generation,
    /// Unique id of the write, by which a writer that received no response recognises its own write.
    pub write: CompactString,
    /// Digest of `text`.
    pub digest: Digest,
    /// Who applied the document, for display to operators.
    pub author: CompactString,
    /// The document as the operator wrote it, in TOML.
    pub text: String,
}

impl Envelope {
    /// Creates the envelope of a document.
    #[must_use]
    pub fn new(
        generation: Generation,
        write: CompactString,
        author: CompactString,
        text: String,
    ) -> Self {
        let digest = Digest::of(text.as_bytes());
        Self {
            generation,
            write,
            digest,
            author,
            text,
        }
    }
}
