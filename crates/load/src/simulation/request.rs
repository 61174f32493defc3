//! State of a simulated request.

use core::time::Duration;

use agatemill_limits::queue::Ticket;
use agatemill_pipeline::Progress;
use agatemill_routing::Chain;

/// A simulated request.
#[derive(Debug)]
pub struct Request {
    /// Time of arrival at the entry.
    pub arrival: Duration,
    /// Index of the entry.
    pub entry: usize,
    /// Index of the organisation.
    pub organisation: u32,
    /// Index of the prompt prefix.
    pub prefix: u32,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens in the complete answer.
    pub answer_tokens: u32,
    /// Ticket of its slot or place in the queue of the entry.
    pub ticket: Option<Ticket>,
    /// Chain of the current attempt.
    pub chain: Option<Chain>,
    /// Index of the current stage of the chain.
    pub stage: usize,
    /// Number of positions that the current pass through the chain runs.
    pub step_positions: u32,
    /// Number of the current step; replies to other steps are ignored.
    pub step: u64,
    /// Time at which the current step was sent.
    pub step_sent: Duration,
    /// Progress of the generation, which decides on retries.
    pub progress: Progress,
    /// Time of each token at the entry.
    pub token_times: Vec<Duration>,
    /// Whether the request completed, failed or was refused.
    pub is_ended: bool,
}
