//! Loads recorded from a seed.

use core::fmt::Write;
use core::time::Duration;

use agatemill_fake::model;

/// What a load is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests in each second on average.
    pub rate: f64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Organisations; the first sends half of the requests and the others share the rest.
    pub organisations: u32,
    /// Prompt prefixes that requests share.
    pub prefixes: u32,
    /// Words of each prefix.
    pub prefix_words: u32,
    /// Most words of a prompt after its prefix; at least 1.
    pub own_words: u32,
    /// Share of non-idempotent calls among the requests.
    pub calls: f64,
    /// Requests in all at most.
    pub limit: usize,
    /// Seed.
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

/// One request of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// When it is sent, counted from the start of the load.
    pub at: Duration,
    /// Index of its organisation.
    pub organisation: u32,
    /// What it asks for.
    pub kind: Kind,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An answer of a model.
    Chat {
        /// Index of the prefix.
        prefix: u32,
        /// The message of the user.
        message: String,
        /// Tokens of the prompt.
        positions: u32,
        /// Tokens of the whole answer.
        answer: u32,
    },
    /// A non-idempotent call.
    Call {
        /// Its idempotency key.
        key: String,
    },
}

/// A recorded load, the same for each run with the same shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Requests in the order of their times.
    pub items: Vec<Item>,
}

impl Plan {
    /// Records a load with exponential gaps between arrivals.
    #[must_use]
    pub fn new(shape: &Shape) -> Self {
        let mut random = fastrand::Rng::with_seed(shape.seed);
        let mut items = Vec::new();
        let mut at = Duration::ZERO;
        while items.len() < shape.limit {
            // The logarithm of 0 is not finite, so the argument is in 0 (excluded) to 1.
            let gap = -(1.0 - random.f64()).ln() / shape.rate.max(1e-3);
            at += Duration::from_secs_f64(gap);
            if at > shape.duration {
                break;
            }
            items.push(item(shape, at, items.len(), &mut random));
        }
        Self { items }
    }

    /// Adds requests and keeps the order of the times.
    pub fn merge(&mut self, other: Self) {
        self.items.extend(other.items);
        self.items.sort_by_key(|item| item.at);
    }

    /// Token positions of the chats: those of each prompt and of each token but the last.
    #[must_use]
    pub fn positions(&self) -> u64 {
        let positions = self.items.iter().map(|item| match &item.kind {
            Kind::Chat {
                positions, answer, ..
            } => u64::from(positions + answer - 1),
            Kind::Call { .. } => 0,
        });
        positions.sum()
    }
}

/// The prompt that an entry makes of one message of a user.
#[must_use]
pub fn conversation(message: &str) -> String {
    format!("user: {message}\nassistant: ")
}

fn item(shape: &Shape, at: Duration, index: usize, random: &mut fastrand::Rng) -> Item {
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
    Item {
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
    let tokens = model::tokenize(&conversation(&message));
    let positions = u32::try_from(tokens.len()).unwrap_or(u32::MAX);
    Kind::Chat {
        prefix,
        answer: model::end_position(&tokens) - positions,
        positions,
        message,
    }
}
