//! A deterministic fake model.
//!
//! Each layer folds its input at a position into a running hash. A token therefore depends on the prompt, on all layers
//! in order, and on all earlier positions in the cache of each layer.

use compact_str::CompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde::Serialize;

/// Minimum number of generated tokens.
pub const MIN_ANSWER_TOKENS: u32 = 8;

/// Maximum number of generated tokens.
pub const MAX_ANSWER_TOKENS: u32 = 64;

/// KV cache of one layer in one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    /// Number of positions that the layer has run.
    pub positions: u32,
    /// Hash over the inputs of these positions, in order.
    pub value: u64,
}

impl Layer {
    /// Runs the next position of layer `index` and returns its output.
    pub fn run(&mut self, index: u32, input: u64) -> u64 {
        self.value = mix(mix(self.value, u64::from(index) + 1), input);
        self.positions += 1;
        self.value
    }
}

/// Splits a prompt into tokens: one for each word, and at least one.
#[must_use]
pub fn tokenize(text: &str) -> Vec<u32> {
    let token = |word: &str| narrow(word.bytes().fold(1, |sum, byte| mix(sum, byte.into())));
    let tokens: Vec<u32> = text.split_whitespace().map(token).collect();
    if tokens.is_empty() { vec![0] } else { tokens }
}

/// Input of the first layer for a token of `model`.
#[must_use]
pub fn embed(model: &str, token: u32) -> u64 {
    let model = model.bytes().fold(2, |sum, byte| mix(sum, byte.into()));
    mix(model, u64::from(token))
}

/// Position after the last token that is generated for a prompt.
///
/// # Panics
///
/// Panics on prompts of more than 4 billion words.
#[must_use]
pub fn end_position(prompt: &[u32]) -> u32 {
    let sum = prompt
        .iter()
        .fold(3, |sum, token| mix(sum, u64::from(*token)));
    let span = u64::from(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS + 1);
    let length = MIN_ANSWER_TOKENS + narrow(sum % span);
    u32::try_from(prompt.len()).expect("prompts are short") + length
}

/// The token for an output of the last layer.
#[must_use]
pub fn token(output: u64) -> u32 {
    narrow(output >> 32)
}

/// The text of a token.
#[must_use]
pub fn text(token: u32) -> CompactString {
    format_compact!(" w{:x}", token >> 12)
}

/// The expected tokens of a model with `layers` layers, at most `count` of them.
#[must_use]
pub fn expected(model: &str, layers: u32, prompt: &str, count: usize) -> Vec<(u32, String)> {
    let prompt = tokenize(prompt);
    let end = end_position(&prompt);
    let mut cache = vec![Layer::default(); layers as usize];
    let mut run = |id: u32| {
        let pass = |input, (layer, index): (&mut Layer, u32)| layer.run(index, input);
        let output = cache.iter_mut().zip(0..).fold(embed(model, id), pass);
        token(output)
    };
    let mut next = 0;
    for id in &prompt {
        next = run(*id);
    }
    let mut tokens = Vec::new();
    while prompt.len() + tokens.len() < end as usize && tokens.len() < count {
        tokens.push((next, text(next).into()));
        next = run(next);
    }
    tokens
}

/// Mixes two numbers (the finalizer of the `SplitMix64` generator).
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.rotate_left(23) ^ b.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[expect(clippy::cast_possible_truncation, reason = "the low bits are wanted")]
fn narrow(value: u64) -> u32 {
    value as u32
}
