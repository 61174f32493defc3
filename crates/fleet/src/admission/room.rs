//! Memory of the engines of a model.

use std::collections::BTreeMap;

use crate::Model;
use crate::path::Candidate;
use agatemill_core::id;

/// Memory for requests, in tokens, at the layers of each zone that have the least of it free, summed over the zones that hold the
/// whole model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Tokens that fit.
    pub capacity: f64,
    /// Tokens in use.
    pub used: f64,
}

impl Room {
    /// Memory of the engines that may be used. Each request needs memory at every layer, mostly within one zone, so the layers of a
    /// zone that have the least free bound how many more fit.
    #[must_use]
    pub fn of(model: &Model, candidates: &[Candidate]) -> Self {
        let mut zones: BTreeMap<&id::Zone, Vec<&Candidate>> = BTreeMap::new();
        for engine in candidates.iter().filter(|engine| engine.is_usable) {
            zones.entry(&engine.zone).or_default().push(engine);
        }
        let rooms = zones.values().map(|engines| Self::in_zone(model, engines));
        rooms.fold(Self::default(), |sum, room| Self {
            capacity: sum.capacity + room.capacity,
            used: sum.used + room.used,
        })
    }

    fn in_zone(model: &Model, engines: &[&Candidate]) -> Self {
        let layers = usize::try_from(model.layers).unwrap_or_default();
        let position =
            |layer: u32| usize::try_from(layer).map_or(layers, |layer| layer.min(layers));
        // Changes from each layer to the next, which are summed up below.
        let mut changes = vec![Self::default(); layers + 1];
        for engine in engines {
            let used = engine.usage.tokens.min(engine.token_capacity);
            let (start, end) = (
                position(engine.layers.start()),
                position(engine.layers.end()),
            );
            changes[start].capacity += engine.token_capacity;
            changes[start].used += used;
            changes[end].capacity -= engine.token_capacity;
            changes[end].used -= used;
        }
        let sums = changes[..layers]
            .iter()
            .scan(Self::default(), |sum, change| {
                sum.capacity += change.capacity;
                sum.used += change.used;
                Some(*sum)
            });
        sums.min_by(|a, b| a.free().total_cmp(&b.free()))
            .unwrap_or_default()
    }

    /// Tokens that are free.
    #[must_use]
    pub fn free(&self) -> f64 {
        self.capacity - self.used
    }
}
