//! Requests for a generation.

use core::time::Duration;

use compact_str::CompactString;

use agatemill_core::Digest;
use agatemill_core::Priority;
use agatemill_core::id;

/// Asks for a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Names the sessions, `{id}-{attempt}`. Invariant: no other run uses it, so a resumed request runs
    /// under a new id; its old entry host may still drive the old sessions.
    pub id: id::Request,
    /// Half of the caller's organisation.
    pub half: id::Half,
    /// Model that the caller asks for.
    pub model: id::Model,
    /// The prompt.
    pub prompt: CompactString,
    /// Digest of the start of the prompt, for prefix affinity.
    pub prefix: Option<Digest>,
    /// Tokens of the answer at most.
    pub max_tokens: u32,
    /// Sampling temperature; 0 means greedy decoding.
    pub temperature: f32,
    /// Seed of the sampling.
    pub seed: Option<u64>,
    /// Order of service on the engines.
    pub priority: Priority,
    /// When nobody waits for the answer any longer, in time since the start of the process.
    pub deadline: Duration,
    /// Leading tokens that the caller has already; they are generated again but not sent.
    pub skip: u32,
}
