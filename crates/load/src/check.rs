//! Checks of answers.

use core::time::Duration;
use std::collections::HashMap;

use serde_json::Value;

use agatemill_fake::model;

/// What a stream of events has given so far.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Texts of the tokens with the indices from their event ids and when they came.
    pub tokens: Vec<Token>,
    /// Whether the final marker came.
    pub done: bool,
    /// Reason of the error event, if one came.
    pub error: Option<String>,
    /// Index of the event that is being read.
    index: Option<u32>,
}

/// A token as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its index.
    pub index: u32,
    /// Its text.
    pub text: String,
    /// When it came.
    pub at: Duration,
}

/// What an answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is whole and right.
    Complete,
    /// It ends early and says so; what it has is right.
    Failed,
    /// It has a wrong, missing or repeated token, or ends early without saying so.
    Incorrect,
}

impl Answer {
    /// Takes a line of the stream.
    pub fn push_line(&mut self, line: &str, now: Duration) {
        if let Some(id) = line.strip_prefix("id: ") {
            self.index = id.rsplit(':').next().and_then(|index| index.parse().ok());
        }
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let data: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(reason) = data["reason"].as_str() {
            self.error = Some(reason.to_owned());
        }
        if let Some(text) = data["choices"][0]["delta"]["content"].as_str() {
            self.tokens.push(Token {
                index: self.index.take().unwrap_or(u32::MAX),
                text: text.to_owned(),
                at: now,
            });
        }
    }

    /// Compares the answer with the model's. `is_disconnected` says that the connection broke, which a caller notices.
    #[must_use]
    pub fn verdict(
        &self,
        model: &str,
        layers: u32,
        prompt: &str,
        is_disconnected: bool,
    ) -> Verdict {
        let expected = model::expected(model, layers, prompt, usize::MAX);
        let pairs = self.tokens.iter().zip(&expected).zip(0..);
        let matches = |((token, (_, text)), index): ((&Token, &(u32, String)), u32)| {
            token.index == index && token.text == *text
        };
        let is_correct = self.tokens.len() <= expected.len() && pairs.into_iter().all(matches);
        let is_complete = self.done && self.tokens.len() == expected.len();
        match (is_correct, is_complete) {
            (true, true) => Verdict::Complete,
            (true, false) if !self.done && (is_disconnected || self.error.is_some()) => {
                Verdict::Failed
            }
            _ => Verdict::Incorrect,
        }
    }
}

/// Number of calls that ran again, by the keys of all executions.
#[must_use]
pub fn count_repeated<'a>(keys: impl Iterator<Item = &'a str>) -> u64 {
    let mut counts: HashMap<&str, u64> = HashMap::default();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts.values().map(|count| count - 1).sum()
}
