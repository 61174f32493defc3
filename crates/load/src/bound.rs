//! Maximum throughput of a fleet, computed from its cards and its traffic.
//!
//! The bound uses the layer placement of the planner and assumes that every holder of a layer can pass
//! requests to every holder of the next. Two resources limit throughput: the engine time for processing
//! prompts and generating answers, and the memory that requests occupy while they run. For each resource, the
//! layer with the least capacity determines the bound.

pub mod document;

use core::fmt;
use std::path::Path;

use agatemill_fleet::Model;
use agatemill_fleet::model::Accelerator;
use agatemill_fleet::placement;
use agatemill_fleet::placement::Card;
use agatemill_fleet::placement::Move;

pub use document::Document;

/// Upper bound on the throughput of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    /// Offered load in requests per second.
    pub offered_per_s: f64,
    /// Compute bound: requests per second for which the layer with the least engine time has capacity.
    pub time_per_s: f64,
    /// Memory bound: requests per second whose tokens fit into the memory of the layer with the least.
    pub memory_per_s: f64,
    /// Tokens that fit into memory beside the weights, for the layer with the least capacity.
    pub token_capacity: f64,
    /// Mean number of tokens in flight at the offered load.
    pub tokens_in_flight: f64,
    /// Mean time of a request in milliseconds, with the load of each layer shared in proportion to the
    /// throughput of its holders.
    pub request_ms: f64,
    /// Smallest number of holders of any layer.
    pub holders: u32,
    /// For each kind of card, the share of the bound that remains in the worst case after the loss of one.
    pub after_loss: Vec<(String, f64)>,
}

impl Bound {
    /// Places the layers on the cards and computes the bound.
    #[must_use]
    pub fn compute(document: &Document) -> Self {
        let model = document.model();
        let mut cards = document.cards();
        for change in placement::fill(&model, &cards) {
            apply(&mut cards, &change);
        }
        while let Some(change) = placement::best_move(&model, &cards) {
            apply(&mut cards, &change);
        }
        let mut bound = without_losses(&model, &cards, document.requests_per_s);
        let total = bound.requests_per_s();
        for accelerator in &model.accelerators {
            let losses = cards
                .iter()
                .enumerate()
                .filter(|(_, card)| card.accelerator == accelerator.name);
            let remaining = losses.map(|(lost, _)| {
                let mut rest = cards.clone();
                rest.remove(lost);
                without_losses(&model, &rest, document.requests_per_s).requests_per_s()
            });
            let worst = remaining.fold(total, f64::min);
            let share = if total > 0.0 { worst / total } else { 0.0 };
            bound.after_loss.push((accelerator.name.to_string(), share));
        }
        bound
    }

    /// Requests per second that the fleet can serve.
    #[must_use]
    pub fn requests_per_s(&self) -> f64 {
        self.time_per_s.min(self.memory_per_s)
    }

    /// Share of the offered load that the fleet can serve.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        (self.requests_per_s() / self.offered_per_s).min(1.0)
    }
}

/// Reads a document and prints its bound.
///
/// # Errors
///
/// When the document cannot be read or is invalid.
pub fn main(path: &Path, is_json: bool) -> Result<(), Box<dyn core::error::Error + Send + Sync>> {
    let bound = Bound::compute(&Document::load(path)?);
    if is_json {
        println!("{}", bound.to_json());
    } else {
        print!("{bound}");
    }
    Ok(())
}

impl Bound {
    /// Converts the bound to a JSON object.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "offered_per_s": self.offered_per_s,
            "time_per_s": self.time_per_s,
            "memory_per_s": self.memory_per_s,
            "room_tokens": self.token_capacity,
            "flight_tokens": self.tokens_in_flight,
            "request_ms": self.request_ms,
            "holders": self.holders,
            "share": self.served_share(),
            "after_loss": self.after_loss.iter().cloned().collect::<std::collections::BTreeMap<_, _>>(),
        })
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "offered          {:10.1} requests/s",
            self.offered_per_s
        )?;
        writeln!(
            formatter,
            "bound by time    {:10.1} requests/s",
            self.time_per_s
        )?;
        writeln!(
            formatter,
            "bound by memory  {:10.1} requests/s",
            self.memory_per_s
        )?;
        writeln!(formatter, "share            {:10.2}", self.served_share())?;
        writeln!(
            formatter,
            "room             {:10.0} tokens, {:.0} in flight",
            self.token_capacity, self.tokens_in_flight
        )?;
        writeln!(formatter, "request          {:10.0} ms", self.request_ms)?;
        writeln!(
            formatter,
            "holders          {:10} of the weakest layer",
            self.holders
        )?;
        for (kind, share) in &self.after_loss {
            writeln!(formatter, "without one {kind:8} {share:6.2} of the bound")?;
        }
        Ok(())
    }
}

fn apply(cards: &mut [Card], change: &Move) {
    if let Some(card) = cards.iter_mut().find(|card| card.server == change.server) {
        card.layers = Some(change.target);
    }
}

/// Contribution of one card to each layer that it holds.
struct Contribution {
    /// Requests per second.
    per_s: f64,
    /// Tokens that fit into memory beside the weights.
    token_capacity: f64,
    /// Time that one layer adds to a request, in milliseconds.
    layer_ms: f64,
}

/// Computes the bound of cards with placed layers, without [`Bound::after_loss`].
fn without_losses(model: &Model, cards: &[Card], offered_per_s: f64) -> Bound {
    let tokens = model.usual_prompt + model.usual_answer / 2.0;
    let mut bound = Bound {
        offered_per_s,
        time_per_s: f64::INFINITY,
        memory_per_s: f64::INFINITY,
        token_capacity: f64::INFINITY,
        tokens_in_flight: 0.0,
        request_ms: 0.0,
        holders: u32::MAX,
        after_loss: Vec::new(),
    };
    for layer in 0..model.layers {
        let holders = cards.iter().filter_map(|card| {
            let held = card
                .layers
                .filter(|held| held.start() <= layer && layer < held.end())?;
            Some(contribution(
                model,
                model.accelerator(&card.accelerator)?,
                held.count(),
            ))
        });
        let holders: Vec<Contribution> = holders.collect();
        // An empty floating-point sum is -0.0; `max` makes it 0.0.
        let per_s = holders
            .iter()
            .map(|holder| holder.per_s)
            .sum::<f64>()
            .max(0.0);
        let token_capacity = holders
            .iter()
            .map(|holder| holder.token_capacity)
            .sum::<f64>()
            .max(0.0);
        // Each holder takes requests in proportion to its throughput.
        let weighted = holders.iter().map(|holder| holder.layer_ms * holder.per_s);
        if per_s > 0.0 {
            bound.request_ms += weighted.sum::<f64>() / per_s;
        }
        bound.time_per_s = bound.time_per_s.min(per_s);
        bound.token_capacity = bound.token_capacity.min(token_capacity);
        bound.holders = bound
            .holders
            .min(u32::try_from(holders.len()).unwrap_or(u32::MAX));
    }
    let request_s = bound.request_ms / 1_000.0;
    bound.tokens_in_flight = offered_per_s * request_s * tokens;
    bound.memory_per_s = if request_s > 0.0 {
        bound.token_capacity / tokens / request_s
    } else {
        0.0
    };
    bound
}

/// Computes what a card with `held` layers contributes to each of them.
fn contribution(model: &Model, accelerator: &Accelerator, held: u32) -> Contribution {
    let tokens = model.usual_prompt + model.usual_answer / 2.0;
    let token_capacity = model.token_capacity(accelerator, held);
    let requests = (token_capacity / tokens)
        .min(f64::from(model.slots))
        .max(1.0);
    let share = 1.0 / f64::from(model.layers);
    let step_ms = model.step_ms
        + requests * (model.step_request_ms + model.step_context_ms * tokens / 1_000.0);
    let layer_step_ms = share * step_ms * accelerator.step_factor;
    let layer_read_ms =
        share * model.usual_prompt / model.read_tokens_per_ms * accelerator.read_factor;
    // Each step generates one token for every request of the batch.
    let layer_busy_ms = layer_read_ms + model.usual_answer * layer_step_ms / requests;
    Contribution {
        per_s: 1_000.0 / (layer_busy_ms * f64::from(held)),
        token_capacity,
        layer_ms: layer_read_ms + model.usual_answer * layer_step_ms,
    }
}
