//! Requests for a chain.

use agatemill_core::Digest;
use agatemill_core::id;

/// A request for a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Half of the caller's organisation.
    pub half: id::Half,
    /// Requested model.
    pub model: id::Model,
    /// Digest of the prompt's prefix, for prefix affinity.
    pub prefix: Option<Digest>,
    /// Engines to exclude, because an earlier attempt of the same request failed on them.
    pub exclude: Vec<id::Server>,
}
