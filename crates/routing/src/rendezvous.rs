//! Rendezvous hashing.

use agatemill_core::Digest;

/// Weight of `name` for `key`; the names with the greatest weights win the key.
///
/// When a name joins or leaves, only the keys that it wins or won move.
#[must_use]
pub fn weight(key: &[u8], name: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + 1 + name.len());
    bytes.extend_from_slice(key);
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    Digest::of(&bytes).prefix()
}
