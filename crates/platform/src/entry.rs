//! Keys with their values and revisions.

use agatemill_core::number::Revision;

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, up to 1 MB.
    pub value: Vec<u8>,
    /// Revision of the last change of the key.
    pub revision: Revision,
}
