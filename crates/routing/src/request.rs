//! Requests for a chain.

use agatemill_core::Digest;
use agatemill_core::id;

/// Asks for a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Half of the caller's organisation.
    pub half: id::Half,
    /// Model that the caller asks for.
    pub model: id::Model,
    /// Digest of the start of the prompt, for prefix affinity.
    pub prefix: Option<Digest>,
    /// Engines to leave out, because an earlier attempt of the same request failed on them.
    pub exclude: Vec<id::Server>,
}
