//! Sessions of a fake engine.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::model;
use agatemill_core::layer;
use agatemill_core::number::Attempt;

/// State of a session.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Session {
    /// Attempt that the session belongs to.
    pub attempt: Attempt,
    /// Position after the last token of the answer.
    pub end: u32,
    /// KV cache of each layer that has run.
    pub layers: BTreeMap<u32, model::Layer>,
}

impl Session {
    /// Whether each of the layers has run exactly this many positions.
    #[must_use]
    pub fn is_at_position(&self, layers: layer::Range, position: u32) -> bool {
        let positions = |index| self.layers.get(&index).map_or(0, |cache| cache.positions);
        (layers.start()..layers.end()).all(|index| positions(index) == position)
    }

    /// Runs the next position through the layers and returns the output of the last one.
    pub fn run(&mut self, layers: layer::Range, input: u64) -> u64 {
        (layers.start()..layers.end()).fold(input, |input, index| {
            self.layers.entry(index).or_default().run(index, input)
        })
    }

    /// Number of positions that the furthest layer has run.
    #[must_use]
    pub fn positions(&self) -> u32 {
        let positions = self.layers.values().map(|cache| cache.positions);
        positions.max().unwrap_or(0)
    }
}
