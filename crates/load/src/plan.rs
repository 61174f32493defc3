//! Load plans generated from a seed.

use core::fmt::Write;
use core::time::Duration;

use agatemill_fake::model;

/// Parameters of a generated load.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Period in which requests arrive.
    pub duration: Duration,
    /// Number of organisations; the first sends half of the requests, the others share the rest evenly.
    pub organisations: u32,
    /// Number of prompt prefixes that requests share.
    pub prefixes: u32,
    /// Number of words in each prefix.
    pub prefix_words: u32,
    /// Maximum number of words in a prompt after its prefix; at least 1.
    pub own_words: u32,
    /// Fraction of the requests that are non-idempotent calls.
    pub calls: f64,
    /// Maximum number of requests.
    pub limit: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            rate: 10.0,
            duration: Duration::from_secs(10),
            organisations: 4,
            prefixes: 8,
            prefix_words: 32,
            own_words: 32,
            calls: 0.0,
            limit: 100_000,
            seed: 1,
        }
    }
}

/// One request of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Send time, relative to the start of the load.
    pub at: Duration,
    /// Index of the organisation.
    pub organisation: u32,
    /// Kind of the request.
    pub kind: Kind,
}

/// Kind of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A chat completion.
    Chat {
        /// Index of the prefix.
        prefix: u32,
        /// Message of the user.
        message: String,
        /// Number of tokens in the prompt.
        prompt_tokens: u32,
        /// Number of tokens in the complete answer.
        answer_tokens: u32,
    },
    /// A non-idempotent call.
    Call {
        /// Idempotency key.
        key: String,
    },
}

/// A generated load; equal shapes give equal plans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Requests ordered by send time.
    pub requests: Vec<Request>,
}

impl Plan {
    /// Generates a load with exponentially distributed gaps between arrivals.
    #[must_use]
    pub fn new(shape: &Shape) -> Self {
        let mut random = fastrand::Rng::with_seed(shape.seed);
        let mut requests = Vec::new();
        let mut at = Duration::ZERO;
        while requests.len() < shape.limit {
            // `1 - f64()` lies in (0, 1]; the logarithm of 0 would not be finite.
            let gap = -(1.0 - random.f64()).ln() / shape.rate.max(1e-3);
            at += Duration::from_secs_f64(gap);
            if at > shape.duration {
                break;
            }
            requests.push(request(shape, at, requests.len(), &mut random));
        }
        Self { requests }
    }

    /// Adds the requests of another plan, ordered by send time.
    pub fn merge(&mut self, other: Self) {
        self.requests.extend(other.requests);
        self.requests.sort_by_key(|request| request.at);
    }

    /// Number of token positions that the chats need: for each, those of the prompt and of every generated
    /// token but the last.
    #[must_use]
    pub fn total_positions(&self) -> u64 {
        let positions = self.requests.iter().map(|request| match &request.kind {
            Kind::Chat {
                prompt_tokens,
                answer_tokens,
                ..
            } => u64::from(prompt_tokens + answer_tokens - 1),
            Kind::Call { .. } => 0,
        });
        positions.sum()
    }
}

/// Renders a single user message into the prompt that an entry builds from it.
#[must_use]
pub fn render_prompt(message: &str) -> String {
    format!("user: {message}\nassistant: ")
}

fn request(shape: &Shape, at: Duration, index: usize, random: &mut fastrand::Rng) -> Request {
    let others = shape.organisations.saturating_sub(1);
    let organisation = if others == 0 || random.bool() {
        0
    } else {
        random.u32(1..=others)
    };
    let kind = if random.f64() < shape.calls {
        let key = format!("load-{}-{index}", shape.seed);
        Kind::Call { key }
    } else {
        chat(shape, index, random)
    };
    Request {
        at,
        organisation,
        kind,
    }
}

fn chat(shape: &Shape, index: usize, random: &mut fastrand::Rng) -> Kind {
    let prefix = random.u32(..shape.prefixes.max(1));
    let own = random.u32(1..=shape.own_words.max(1));
    let mut message = String::new();
    // Writing to a string cannot fail.
    for word in 0..shape.prefix_words {
        let _ = write!(message, "p{prefix}-{word} ");
    }
    for word in 0..own {
        let _ = write!(message, "r{}-{index}-{word} ", shape.seed);
    }
    let tokens = model::tokenize(&render_prompt(&message));
    let prompt_tokens = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    Kind::Chat {
        prefix,
        answer_tokens: model::end_position(&tokens) - prompt_tokens,
        prompt_tokens,
        message,
    }
}
