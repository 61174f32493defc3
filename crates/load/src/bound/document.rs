//! TOML document that describes a fleet and its traffic.

use std::path::Path;

use compact_str::CompactString;
use serde::Deserialize;

use agatemill_core::id;
use agatemill_fleet::Model;
use agatemill_fleet::model::Accelerator;
use agatemill_fleet::placement::Card;

/// A fleet and its traffic.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Offered load in requests per second.
    pub requests_per_s: f64,
    /// Mean length of a prompt in tokens.
    pub prompt_tokens: f64,
    /// Mean length of an answer in tokens.
    pub answer_tokens: f64,
    model: ModelTable,
    /// Kinds of cards.
    kinds: Vec<Kind>,
    /// Numbers of cards by zone and kind.
    cards: Vec<Cards>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelTable {
    layers: u32,
    layer_mb: f64,
    /// Memory of one token over all layers.
    token_bytes: f64,
    /// Maximum number of requests that an engine runs concurrently.
    slots: u32,
    step_ms: f64,
    step_request_ms: f64,
    step_context_ms: f64,
    read_tokens_per_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Kind {
    name: CompactString,
    memory_mb: f64,
    step_factor: f64,
    read_factor: f64,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cards {
    zone: id::Zone,
    kind: CompactString,
    count: u32,
}

/// Error of loading a document.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not a valid document in TOML.
    #[display("{path}: {source}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Cause.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[display("{path}: {reason}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The key and the expected value.
        #[error(not(source))]
        reason: String,
    },
}

impl Document {
    /// Reads and validates a document.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or parsed, or a value is out of range.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: name.clone(),
            source,
        })?;
        let document: Self = toml::from_str(&text).map_err(|source| Error::Parse {
            path: name.clone(),
            source,
        })?;
        document
            .validate()
            .map_err(|reason| Error::Invalid { path: name, reason })?;
        Ok(document)
    }

    fn validate(&self) -> Result<(), String> {
        let positive = [
            ("requests_per_s", self.requests_per_s),
            ("prompt_tokens", self.prompt_tokens),
            ("answer_tokens", self.answer_tokens),
            ("model.layers", f64::from(self.model.layers)),
            ("model.layer_mb", self.model.layer_mb),
            ("model.token_bytes", self.model.token_bytes),
            ("model.slots", f64::from(self.model.slots)),
            ("model.step_ms", self.model.step_ms),
            ("model.read_tokens_per_ms", self.model.read_tokens_per_ms),
        ];
        let kinds = self.kinds.iter().flat_map(|kind| {
            [
                ("kinds.memory_mb", kind.memory_mb),
                ("kinds.step_factor", kind.step_factor),
                ("kinds.read_factor", kind.read_factor),
            ]
        });
        for (key, value) in positive.into_iter().chain(kinds) {
            if !(value.is_finite() && value > 0.0) {
                return Err(format!("{key}: expected a number above 0, got {value}"));
            }
        }
        for cards in &self.cards {
            if !self.kinds.iter().any(|kind| kind.name == cards.kind) {
                return Err(format!("cards.kind: unknown kind {}", cards.kind));
            }
        }
        Ok(())
    }

    /// Creates the model with the mean request lengths as the usual ones. Values for links and for loading
    /// layers are 0, as the bound does not use them.
    #[must_use]
    pub fn model(&self) -> Model {
        let kinds = self.kinds.iter().map(|kind| Accelerator {
            name: kind.name.clone(),
            memory_mb: kind.memory_mb,
            step_factor: kind.step_factor,
            read_factor: kind.read_factor,
        });
        Model {
            layers: self.model.layers,
            layer_mb: self.model.layer_mb,
            token_bytes: self.model.token_bytes,
            slots: self.model.slots,
            step_ms: self.model.step_ms,
            step_request_ms: self.model.step_request_ms,
            step_context_ms: self.model.step_context_ms,
            pass_tokens: 1.0,
            read_tokens_per_ms: self.model.read_tokens_per_ms,
            load_s: 0.0,
            activation_bytes: 0.0,
            zone_link_mbps: 0.0,
            usual_prompt: self.prompt_tokens,
            usual_answer: self.answer_tokens,
            accelerators: kinds.collect(),
            delays: Vec::new(),
        }
    }

    /// Creates the cards, without any layers.
    #[must_use]
    pub fn cards(&self) -> Vec<Card> {
        let mut all = Vec::new();
        for cards in &self.cards {
            for _ in 0..cards.count {
                let name = format!("card-{}", all.len());
                let Ok(server) = name.parse() else {
                    continue;
                };
                all.push(Card {
                    server,
                    zone: cards.zone.clone(),
                    accelerator: cards.kind.clone(),
                    layers: None,
                    is_available: true,
                });
            }
        }
        all
    }
}
