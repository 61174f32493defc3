//! SHA-256 digests of documents, request bodies and tokens.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

/// SHA-256 digest, displayed as 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest([u8; 32]);

/// Error for a text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("a SHA-256 digest is 64 hexadecimal digits, found {found:?}")]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// The digest as bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first eight bytes as a number, for rendezvous hashing and sharding.
    ///
    /// # Panics
    ///
    /// Never: a digest has 32 bytes.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let (first, _) = self.0.split_first_chunk().expect("a digest has 32 bytes");
        u64::from_be_bytes(*first)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let mut bytes = [0; 32];
        let invalid = |_| Invalid {
            found: CompactString::new(text),
        };
        hex::decode_to_slice(text, &mut bytes).map_err(invalid)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        compact_str::format_compact!("{digest}")
    }
}
