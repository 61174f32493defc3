//! Which layers each engine holds.
//!
//! It answers a fleet in which any card may be lost at any moment: each availability zone holds the whole
//! model where its cards allow it, so that activations stay within the zone, and what is left doubles the
//! layers with the fewest holders. Weights take only part of a card; the rest holds requests.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::Model;
use crate::model::Accelerator;
use agatemill_core::id;
use agatemill_core::layer;

/// Steps in which the room for requests is searched, in tokens.
const ROOM_STEP: f64 = 4_000.0;

/// Least room for requests on each card, in tokens: a few requests of usual size.
const MIN_ROOM: f64 = 8_000.0;

/// A holder in the same zone, or anywhere, makes another one this much less useful.
const HOLDER_DISCOUNT: f64 = 0.25;

/// Worth of the first holder of a layer in its zone, against 0.25 for the second. A zone that lacks one
/// layer sends all its streams over the links between zones, so closing a gap goes before all else.
const GAP_WEIGHT: f64 = 10.0;

/// Worth of a layer's holder anywhere, against 1 for one in the zone: it only breaks ties.
const ANYWHERE_WEIGHT: f64 = 0.1;

/// By how much a move must improve the placement, since it costs a load of weights and takes the card out
/// of use for seconds: half a layer that had no holder in the zone.
const MOVE_GAIN: f64 = 5.0;

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// The engine.
    pub server: id::Server,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its kind of accelerator.
    pub accelerator: CompactString,
    /// Layers that it holds or is loading.
    pub held: Option<layer::Range>,
}

/// An order for an engine to hold other layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub server: id::Server,
    /// Layers that it is to hold.
    pub target: layer::Range,
}

/// Number of holders of each layer.
struct Coverage {
    /// Group of each zone: a zone that holds the model is one, and all others together are one.
    groups: HashMap<id::Zone, usize>,
    /// Holders in each group.
    near: Vec<Vec<i32>>,
    anywhere: Vec<i32>,
}

/// Ranges for all empty cards. Cards of a kind that the model does not list get none.
#[must_use]
pub fn fill(model: &Model, cards: &[Card]) -> Vec<Move> {
    if cards.iter().all(|card| card.held.is_some()) {
        return Vec::new();
    }
    let room = token_capacity(model, cards);
    let mut coverage = Coverage::new(model, cards, room);
    let sized = |card: &Card| {
        let accelerator = model.accelerator(&card.accelerator)?;
        Some(model.max_layers(accelerator, room)).filter(|held| *held > 0)
    };
    let mut empty: Vec<(&Card, u32)> = cards
        .iter()
        .filter(|card| card.held.is_none())
        .filter_map(|card| Some((card, sized(card)?)))
        .collect();
    // Large ranges first, which are those of the fastest cards where memory goes with speed: small ones fit
    // into the gaps that they leave. The id makes the order the same for every planner.
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
        let (target, _) = coverage.best(&card.zone, size);
        coverage.change(&card.zone, target, 1);
        moves.push(Move {
            server: card.server.clone(),
            target,
        });
    }
    moves
}

/// Moves of cards that hold layers, best first, each judged after the ones before; at most `most`.
#[must_use]
pub fn best_moves(model: &Model, cards: &[Card], most: usize) -> Vec<Move> {
    let mut cards = cards.to_vec();
    let mut moves: Vec<Move> = Vec::new();
    while moves.len() < most {
        let Some(change) = best_move(model, &cards) else {
            break;
        };
        let card = cards.iter_mut().find(|card| card.server == change.server);
        let is_repeated = moves.iter().any(|known| known.server == change.server);
        match card {
            Some(card) if !is_repeated => card.held = Some(change.target),
            _ => break,
        }
        moves.push(change);
    }
    moves
}

/// The one move of a card that holds layers which improves the placement most; `None` when no move is
/// worth its price. Of equal moves it is the one of the card that is needed least where it is.
#[must_use]
pub fn best_move(model: &Model, cards: &[Card]) -> Option<Move> {
    let room = token_capacity(model, cards);
    let mut coverage = Coverage::new(model, cards, room);
    let mut best: Option<(f64, f64, Move)> = None;
    for card in cards {
        let Some((held, accelerator)) = card.held.zip(model.accelerator(&card.accelerator)) else {
            continue;
        };
        coverage.change(&card.zone, held, -1);
        let loss = coverage.worth(&card.zone, held);
        let size = model.max_layers(accelerator, room);
        let (target, gain) = coverage.best(&card.zone, size);
        coverage.change(&card.zone, held, 1);
        let surplus = gain - loss;
        if target == held || surplus < MOVE_GAIN {
            continue;
        }
        let is_better = |(most, least, _): &(f64, f64, Move)| {
            surplus > most + 1.0 || (surplus > most - 1.0 && loss < *least)
        };
        if best.as_ref().is_none_or(is_better) {
            let server = card.server.clone();
            best = Some((surplus, loss, Move { server, target }));
        }
    }
    best.map(|(_, _, change)| change)
}

/// Tokens of requests for which each card keeps room beside its layers.
///
/// More room lets more requests run at once, but spreads the layers over slower cards. The room chosen is
/// the one with the greatest throughput when each zone serves on its own fastest cards; where no zone holds
/// the model, all cards together are taken for one.
#[must_use]
pub fn token_capacity(model: &Model, cards: &[Card]) -> f64 {
    let most = f64::from(model.slots) * request_tokens(model);
    let mut zones: HashMap<&id::Zone, Vec<&Accelerator>> = HashMap::new();
    for card in cards {
        if let Some(accelerator) = model.accelerator(&card.accelerator) {
            zones.entry(&card.zone).or_default().push(accelerator);
        }
    }
    let groups: Vec<Vec<&Accelerator>> = zones.into_values().collect();
    let each = best_room(model, &groups, most);
    let all = || best_room(model, &[groups.concat()], most);
    each.or_else(all).unwrap_or(MIN_ROOM)
}

/// Tokens that a request of usual size holds on average while it runs.
fn request_tokens(model: &Model) -> f64 {
    model.usual_prompt + model.usual_answer / 2.0
}

/// The room with the greatest throughput of all groups; `None` when no group ever holds the model.
fn best_room(model: &Model, groups: &[Vec<&Accelerator>], most: f64) -> Option<f64> {
    let mut best: Option<(f64, f64)> = None;
    let mut room = MIN_ROOM;
    while room <= most {
        let throughput: f64 = groups
            .iter()
            .map(|group| throughput(model, group, room))
            .sum();
        if throughput > 0.0 && best.is_none_or(|(_, known)| throughput > known) {
            best = Some((room, throughput));
        }
        room += ROOM_STEP;
    }
    best.map(|(room, _)| room)
}

/// Requests in each millisecond that a path over the fastest cards of a group can write, up to a factor
/// that is the same for all rooms; 0 when the group does not hold the model.
fn throughput(model: &Model, group: &[&Accelerator], room: f64) -> f64 {
    let mut cards: Vec<&&Accelerator> = group.iter().collect();
    cards.sort_by(|a, b| a.step_factor.total_cmp(&b.step_factor));
    let mut missing = model.layers;
    let mut slowness = 0.0;
    for card in cards {
        let held = model.max_layers(card, room).min(missing);
        slowness += f64::from(held) / f64::from(model.layers) * card.step_factor;
        missing -= held;
    }
    if missing > 0 {
        return 0.0;
    }
    let requests = (room / request_tokens(model)).min(f64::from(model.slots));
    let request_ms =
        model.step_request_ms + model.step_context_ms * request_tokens(model) / 1_000.0;
    requests / (slowness * (model.step_ms + request_ms * requests))
}

impl Coverage {
    fn new(model: &Model, cards: &[Card], room: f64) -> Self {
        let mut sizes: HashMap<&id::Zone, u32> = HashMap::new();
        for card in cards {
            let accelerator = model.accelerator(&card.accelerator);
            let size = accelerator.map_or(0, |card| model.max_layers(card, room));
            *sizes.entry(&card.zone).or_default() += size;
        }
        // Group 0 is that of the zones that do not hold the model on their own.
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
            near: vec![vec![0; layers]; count],
            anywhere: vec![0; layers],
        };
        for card in cards {
            if let Some(held) = card.held {
                coverage.change(&card.zone, held, 1);
            }
        }
        coverage
    }

    fn change(&mut self, zone: &id::Zone, range: layer::Range, by: i32) {
        let near = &mut self.near[self.groups[zone]];
        let span = range.start() as usize..(range.end() as usize).min(self.anywhere.len());
        for counts in [near, &mut self.anywhere] {
            for count in &mut counts[span.clone()] {
                *count += by;
            }
        }
    }

    /// What one more holder of these layers is worth.
    fn worth(&self, zone: &id::Zone, range: layer::Range) -> f64 {
        let near = &self.near[self.groups[zone]];
        let span = range.start() as usize..(range.end() as usize).min(self.anywhere.len());
        span.map(|layer| {
            let near = match near[layer] {
                0 => GAP_WEIGHT,
                holders => HOLDER_DISCOUNT.powi(holders),
            };
            near + ANYWHERE_WEIGHT * HOLDER_DISCOUNT.powi(self.anywhere[layer])
        })
        .sum()
    }

    /// The range of `size` layers at which one more holder is worth most, with its worth.
    fn best(&self, zone: &id::Zone, size: u32) -> (layer::Range, f64) {
        let layers = u32::try_from(self.anywhere.len()).unwrap_or(u32::MAX);
        let size = size.min(layers);
        let ranges = self
            .starts(zone, size, layers)
            .into_iter()
            .filter_map(|start| {
                let range = layer::Range::new(start, start + size).ok()?;
                Some((range, self.worth(zone, range)))
            });
        let best = ranges.reduce(|best, next| if next.1 > best.1 { next } else { best });
        best.expect("a model has layers and a card holds at least one")
    }

    /// Starts of ranges that begin or end where the number of holders in the zone changes: others would
    /// leave gaps into which no card fits.
    fn starts(&self, zone: &id::Zone, size: u32, layers: u32) -> Vec<u32> {
        let near = &self.near[self.groups[zone]];
        let changes = (1..layers).filter(|layer| {
            let layer = *layer as usize;
            near[layer] != near[layer - 1]
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
