//! Placement of layers on engines.
//!
//! Any card may be lost at any moment. Each availability zone holds the whole model if its cards allow it, so
//! that activations stay within the zone; the remaining cards replicate the layers with the fewest holders.
//! Weights take only part of a card's memory; the rest is for requests.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::Model;
use crate::model::Accelerator;
use agatemill_core::id;
use agatemill_core::layer;

/// Step of the search for the token capacity, in tokens.
const TOKEN_CAPACITY_STEP: f64 = 4_000.0;

/// Minimum token capacity of each card: a few requests of usual size.
const MIN_TOKEN_CAPACITY: f64 = 8_000.0;

/// Factor by which each existing holder, in the same group or anywhere, reduces the value of another one.
const HOLDER_DISCOUNT: f64 = 0.25;

/// Value of the first holder of a layer in its zone, against 0.25 for the second. A zone that lacks one layer
/// sends all its streams over the links between zones, so closing a gap has the highest precedence.
const GAP_WEIGHT: f64 = 10.0;

/// Value of a layer's holder in any zone, against 1 for one in the same zone: it only breaks ties.
const ANY_ZONE_WEIGHT: f64 = 0.1;

/// Minimum gain of a move, since it loads weights and takes the card out of service for seconds. Equals half
/// the value of a layer that had no holder in the zone.
const MIN_MOVE_GAIN: f64 = 5.0;

/// An engine in the view of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// The engine.
    pub server: id::Server,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its kind of accelerator.
    pub accelerator: CompactString,
    /// Layers that it holds or is loading; `None` when it is empty.
    pub layers: Option<layer::Range>,
    /// Whether it can take an order.
    pub is_available: bool,
}

/// An order for an engine to load other layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub server: id::Server,
    /// Layers to load.
    pub target: layer::Range,
}

/// Number of holders of each layer.
struct Coverage {
    /// Group of each zone. A zone whose cards can hold the whole model is a group of its own; all other zones
    /// form one group.
    groups: HashMap<id::Zone, usize>,
    /// Holders of each layer by group.
    by_group: Vec<Vec<i32>>,
    /// Holders of each layer in all zones.
    total: Vec<i32>,
}

/// Assigns ranges to all empty cards that can take orders. Cards of a kind that the model does not list get none.
#[must_use]
pub fn fill(model: &Model, cards: &[Card]) -> Vec<Move> {
    let is_free = |card: &&Card| card.layers.is_none() && card.is_available;
    if !cards.iter().any(|card| is_free(&card)) {
        return Vec::new();
    }
    let capacity = token_capacity(model, cards);
    let mut coverage = Coverage::new(model, cards, capacity);
    let sized = |card: &Card| {
        let accelerator = model.accelerator(&card.accelerator)?;
        Some(model.max_layers(accelerator, capacity)).filter(|held| *held > 0)
    };
    let mut empty: Vec<(&Card, u32)> = cards
        .iter()
        .filter(is_free)
        .filter_map(|card| Some((card, sized(card)?)))
        .collect();
    // Fastest cards first, then large ranges; where memory grows with speed, these are the same cards. Small
    // ranges fit into the remaining gaps. The id makes the order the same for every planner.
    let slowness = |card: &Card| {
        let accelerator = model.accelerator(&card.accelerator);
        accelerator.map_or(f64::INFINITY, |accelerator| accelerator.step_factor)
    };
    empty.sort_by(|(a, size_a), (b, size_b)| {
        let speed = slowness(a).total_cmp(&slowness(b));
        speed.then(size_b.cmp(size_a)).then(a.server.cmp(&b.server))
    });
    let mut moves = Vec::new();
    for (card, size) in empty {
        let (target, _) = coverage.best_range(&card.zone, size);
        coverage.add_holders(&card.zone, target, 1);
        moves.push(Move {
            server: card.server.clone(),
            target,
        });
    }
    moves
}

/// Whether each layer has a holder in some zone.
#[must_use]
pub fn is_whole(model: &Model, cards: &[Card]) -> bool {
    let held = |layer: u32| {
        let mut ranges = cards.iter().filter_map(|card| card.layers);
        ranges.any(|range| range.start() <= layer && layer < range.end())
    };
    (0..model.layers).all(held)
}

/// Finds up to `max_moves` moves of cards that hold layers, best first. Each is evaluated as if the moves before it
/// were complete.
#[must_use]
pub fn best_moves(model: &Model, cards: &[Card], max_moves: usize) -> Vec<Move> {
    let mut cards = cards.to_vec();
    let mut moves: Vec<Move> = Vec::new();
    while moves.len() < max_moves {
        let Some(change) = best_move(model, &cards) else {
            break;
        };
        let card = cards.iter_mut().find(|card| card.server == change.server);
        let is_repeated = moves.iter().any(|other| other.server == change.server);
        match card {
            Some(card) if !is_repeated => card.layers = Some(change.target),
            _ => break,
        }
        moves.push(change);
    }
    moves
}

/// Finds the move of a card that holds layers with the largest gain; `None` when no move gains at least
/// `MIN_MOVE_GAIN`. Among moves of about equal gain, prefers the card whose current layers need it least.
#[must_use]
pub fn best_move(model: &Model, cards: &[Card]) -> Option<Move> {
    let capacity = token_capacity(model, cards);
    let mut coverage = Coverage::new(model, cards, capacity);
    let mut best: Option<(f64, f64, Move)> = None;
    for card in cards.iter().filter(|card| card.is_available) {
        let Some((current, accelerator)) = card.layers.zip(model.accelerator(&card.accelerator))
        else {
            continue;
        };
        coverage.add_holders(&card.zone, current, -1);
        let loss = coverage.value(&card.zone, current);
        let size = model.max_layers(accelerator, capacity);
        let (target, gain) = coverage.best_range(&card.zone, size);
        coverage.add_holders(&card.zone, current, 1);
        let surplus = gain - loss;
        if target == current || surplus < MIN_MOVE_GAIN {
            continue;
        }
        let is_better = |(best_surplus, best_loss, _): &(f64, f64, Move)| {
            surplus > best_surplus + 1.0 || (surplus > best_surplus - 1.0 && loss < *best_loss)
        };
        if best.as_ref().is_none_or(is_better) {
            let server = card.server.clone();
            best = Some((surplus, loss, Move { server, target }));
        }
    }
    best.map(|(_, _, change)| change)
}

/// Tokens of requests for which each card keeps memory free beside its layers.
///
/// A larger capacity lets more requests run at once, but spreads the layers over slower cards. Chooses the
/// capacity with the highest throughput when each zone serves on its own fastest cards; if no zone can hold
/// the model, all cards are treated as one zone.
#[must_use]
pub fn token_capacity(model: &Model, cards: &[Card]) -> f64 {
    let max_capacity = f64::from(model.slots) * request_tokens(model);
    let mut zones: HashMap<&id::Zone, Vec<&Accelerator>> = HashMap::new();
    for card in cards {
        if let Some(accelerator) = model.accelerator(&card.accelerator) {
            zones.entry(&card.zone).or_default().push(accelerator);
        }
    }
    let groups: Vec<Vec<&Accelerator>> = zones.into_values().collect();
    let by_zone = best_capacity(model, &groups, max_capacity);
    let combined = || best_capacity(model, &[groups.concat()], max_capacity);
    by_zone.or_else(combined).unwrap_or(MIN_TOKEN_CAPACITY)
}

/// Mean number of tokens that a request of usual size holds while it runs.
fn request_tokens(model: &Model) -> f64 {
    model.usual_prompt + model.usual_answer / 2.0
}

/// Finds the token capacity with the highest total throughput of all groups; `None` when no group can hold the
/// model at any capacity.
fn best_capacity(model: &Model, groups: &[Vec<&Accelerator>], max_capacity: f64) -> Option<f64> {
    let mut best: Option<(f64, f64)> = None;
    let mut capacity = MIN_TOKEN_CAPACITY;
    while capacity <= max_capacity {
        let throughput: f64 = groups
            .iter()
            .map(|group| throughput(model, group, capacity))
            .sum();
        if throughput > 0.0 && best.is_none_or(|(_, highest)| throughput > highest) {
            best = Some((capacity, throughput));
        }
        capacity += TOKEN_CAPACITY_STEP;
    }
    best.map(|(capacity, _)| capacity)
}

/// Throughput of a path over the fastest cards of a group in requests per millisecond, up to a factor that is
/// the same for all capacities; 0 when the group cannot hold the model.
fn throughput(model: &Model, group: &[&Accelerator], capacity: f64) -> f64 {
    let mut cards: Vec<&&Accelerator> = group.iter().collect();
    cards.sort_by(|a, b| a.step_factor.total_cmp(&b.step_factor));
    let mut missing = model.layers;
    let mut slowness = 0.0;
    for card in cards {
        let count = model.max_layers(card, capacity).min(missing);
        slowness += f64::from(count) / f64::from(model.layers) * card.step_factor;
        missing -= count;
    }
    if missing > 0 {
        return 0.0;
    }
    let requests = (capacity / request_tokens(model)).min(f64::from(model.slots));
    let request_ms =
        model.step_request_ms + model.step_context_ms * request_tokens(model) / 1_000.0;
    requests / (slowness * (model.step_ms + request_ms * requests))
}

impl Coverage {
    fn new(model: &Model, cards: &[Card], capacity: f64) -> Self {
        let mut sizes: HashMap<&id::Zone, u32> = HashMap::new();
        for card in cards {
            let accelerator = model.accelerator(&card.accelerator);
            let size = accelerator.map_or(0, |card| model.max_layers(card, capacity));
            *sizes.entry(&card.zone).or_default() += size;
        }
        // Group 0 contains the zones that cannot hold the model on their own.
        let mut count = 1;
        let groups = sizes.into_iter().map(|(zone, size)| {
            let is_whole = size >= model.layers;
            count += usize::from(is_whole);
            (zone.clone(), if is_whole { count - 1 } else { 0 })
        });
        let groups: HashMap<id::Zone, usize> = groups.collect();
        let layers = model.layers as usize;
        let mut coverage = Self {
            groups,
            by_group: vec![vec![0; layers]; count],
            total: vec![0; layers],
        };
        for card in cards {
            if let Some(layers) = card.layers {
                coverage.add_holders(&card.zone, layers, 1);
            }
        }
        coverage
    }

    /// Indices of the layers of a range, without those that the model does not have.
    fn span(&self, range: layer::Range) -> core::ops::Range<usize> {
        let end = (range.end() as usize).min(self.total.len());
        (range.start() as usize).min(end)..end
    }

    /// Adds `by` to the number of holders of each layer of a range.
    fn add_holders(&mut self, zone: &id::Zone, range: layer::Range, by: i32) {
        let span = self.span(range);
        let group = &mut self.by_group[self.groups[zone]];
        for counts in [group, &mut self.total] {
            for count in &mut counts[span.clone()] {
                *count += by;
            }
        }
    }

    /// Value of one more holder of these layers.
    fn value(&self, zone: &id::Zone, range: layer::Range) -> f64 {
        let group = &self.by_group[self.groups[zone]];
        self.span(range)
            .map(|layer| {
                let group_value = match group[layer] {
                    0 => GAP_WEIGHT,
                    holders => HOLDER_DISCOUNT.powi(holders),
                };
                group_value + ANY_ZONE_WEIGHT * HOLDER_DISCOUNT.powi(self.total[layer])
            })
            .sum()
    }

    /// Finds the range of `size` layers where one more holder has the highest value; returns it with the value.
    fn best_range(&self, zone: &id::Zone, size: u32) -> (layer::Range, f64) {
        let layers = u32::try_from(self.total.len()).unwrap_or(u32::MAX);
        let size = size.min(layers);
        let ranges = self
            .range_starts(zone, size, layers)
            .into_iter()
            .filter_map(|start| {
                let range = layer::Range::new(start, start + size).ok()?;
                Some((range, self.value(zone, range)))
            });
        let best = ranges.reduce(|best, next| if next.1 > best.1 { next } else { best });
        best.expect("a model has layers and a card holds at least one")
    }

    /// Starts of the ranges that begin or end where the number of holders in the zone changes, or at the ends
    /// of the model. Other ranges would leave gaps into which no card fits.
    fn range_starts(&self, zone: &id::Zone, size: u32, layers: u32) -> Vec<u32> {
        let group = &self.by_group[self.groups[zone]];
        let changes = (1..layers).filter(|layer| {
            let layer = *layer as usize;
            group[layer] != group[layer - 1]
        });
        let mut starts: Vec<u32> = changes
            .flat_map(|edge| [Some(edge), edge.checked_sub(size)])
            .flatten()
            .chain([0, layers - size])
            .map(|start| start.min(layers - size))
            .collect();
        starts.sort_unstable();
        starts.dedup();
        starts
    }
}
