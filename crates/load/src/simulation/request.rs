//! A request in a simulation.

use core::time::Duration;

use agatemill_limits::queue::Ticket;
use agatemill_pipeline::Progress;
use agatemill_routing::Chain;

/// A request.
#[derive(Debug)]
pub struct Request {
    /// When it was sent.
    pub arrival: Duration,
    /// Index of its entry.
    pub entry: usize,
    /// Index of its organisation.
    pub organisation: u32,
    /// Index of the prefix of its prompt.
    pub prefix: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub answer_tokens: u32,
    /// Its place in the entry's queue.
    pub ticket: Option<Ticket>,
    /// The chain of its attempt.
    pub chain: Option<Chain>,
    /// Index of the stage that runs.
    pub stage: usize,
    /// Positions of the pass.
    pub step_positions: u32,
    /// Number of the step that runs.
    pub step: u64,
    /// When the step was sent.
    pub step_sent: Duration,
    /// Decisions of the generation.
    pub progress: Progress,
    /// When each token was given to the caller.
    pub token_times: Vec<Duration>,
    /// Whether it has ended.
    pub is_ended: bool,
}
