//! Rendezvous hashing.

use agatemill_core::Digest;

/// Rendezvous weight of `name` for `key`; a key is assigned to the names with the highest weights.
///
/// Adding or removing a name moves only the keys that are assigned to that name.
#[must_use]
pub fn weight(key: &[u8], name: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + name.len());
    bytes.extend_from_slice(key);
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    Digest::of(&bytes).prefix()
}
