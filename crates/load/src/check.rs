//! Checks streamed answers against the fake model.

use core::time::Duration;
use std::collections::HashMap;

use serde_json::Value;

use agatemill_fake::model;

/// The part of a streamed answer that has been received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Tokens in the order of arrival.
    pub tokens: Vec<Token>,
    /// Whether the `[DONE]` marker was received.
    pub done: bool,
    /// Reason of the error event, if one was received.
    pub error: Option<String>,
    /// Index from the event id that precedes the next data line.
    index: Option<u32>,
}

/// A received token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index from the event id; `u32::MAX` if the event had none.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// Time of arrival.
    pub at: Duration,
}

/// Result of checking an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All expected tokens and the `[DONE]` marker were received.
    Complete,
    /// The answer ended early with an error event or a broken connection; the tokens received are correct.
    Failed,
    /// A token is wrong, missing or repeated, or the answer ended early without an error.
    Incorrect,
}

impl Answer {
    /// Parses the next line of the event stream.
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

    /// Compares the answer with the expected output of the model. A connection that broke
    /// (`is_disconnected`) is visible to a caller, so it counts as a reported failure.
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

/// Counts the repeated executions, given the key of every execution.
#[must_use]
pub fn count_repeated<'a>(keys: impl Iterator<Item = &'a str>) -> u64 {
    let mut counts: HashMap<&str, u64> = HashMap::default();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts.values().map(|count| count - 1).sum()
}
