//! Requests for a generation.

use core::time::Duration;

use compact_str::CompactString;

use agatemill_core::Digest;
use agatemill_core::Priority;
use agatemill_core::id;

/// A request for a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Prefix of the session names, `{id}-{attempt}`. Invariant: no other run uses it. A resumed request runs
    /// under a new id, because its old entry host may still send steps to the old sessions.
    pub id: id::Request,
    /// Half of the caller's organisation.
    pub half: id::Half,
    /// Model that the caller requested.
    pub model: id::Model,
    /// The prompt.
    pub prompt: CompactString,
    /// Digest of the start of the prompt, for prefix affinity.
    pub prefix: Option<Digest>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Sampling temperature; 0 means greedy decoding.
    pub temperature: f32,
    /// Seed of the sampling.
    pub seed: Option<u64>,
    /// Scheduling priority on the engines.
    pub priority: Priority,
    /// Deadline of the answer, in time since the start of the process.
    pub deadline: Duration,
    /// Number of leading tokens that the caller already has; they are generated again but not sent.
    pub skip: u32,
}
