//! Shortest-path search for the cheapest sequence of engines that covers every layer.

use agatemill_core::layer;

/// An engine that may become part of the sequence.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Layers that the engine has loaded.
    pub layers: layer::Range,
    /// Cost of running all of these layers.
    pub cost: f64,
    /// Cost that is independent of the number of layers run, such as link latency.
    pub fixed: f64,
}

/// One step of the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Index of the candidate.
    pub candidate: usize,
    /// Layers that the candidate runs.
    pub layers: layer::Range,
}

#[derive(Clone, Copy, Debug)]
struct Best {
    cost: f64,
    /// Last step of the cheapest sequence that reaches this layer; `None` at layer 0.
    step: Option<Step>,
}

/// Finds the cheapest sequence that covers the layers `0..layers`; `None` if there is none.
///
/// A sequence may enter a candidate at any of its layers and then runs it up to its last layer. The search visits
/// each layer once, so it takes at most `layers × candidates` steps.
#[must_use]
pub fn cheapest(candidates: &[Candidate], layers: u32) -> Option<Vec<Step>> {
    let mut best: Vec<Option<Best>> = vec![None; layers as usize + 1];
    best[0] = Some(Best {
        cost: 0.0,
        step: None,
    });
    for layer in 0..layers {
        let Some(reached) = best[layer as usize] else {
            continue;
        };
        for (index, candidate) in candidates.iter().enumerate() {
            relax(&mut best, reached.cost, layer, index, candidate);
        }
    }
    backtrack(&best, layers)
}

fn relax(best: &mut [Option<Best>], reached: f64, layer: u32, index: usize, candidate: &Candidate) {
    let holds = candidate.layers.start() <= layer && layer < candidate.layers.end();
    let Some(slot) = best
        .get_mut(candidate.layers.end() as usize)
        .filter(|_| holds)
    else {
        return;
    };
    let Ok(layers) = layer::Range::new(layer, candidate.layers.end()) else {
        return;
    };
    let part = f64::from(layers.count()) / f64::from(candidate.layers.count());
    let cost = reached + candidate.fixed + candidate.cost * part;
    if slot.is_none_or(|old| cost < old.cost) {
        *slot = Some(Best {
            cost,
            step: Some(Step {
                candidate: index,
                layers,
            }),
        });
    }
}

fn backtrack(best: &[Option<Best>], layers: u32) -> Option<Vec<Step>> {
    let mut steps = Vec::new();
    let mut layer = layers;
    while layer > 0 {
        let step = best[layer as usize]?.step?;
        steps.push(step);
        layer = step.layers.start();
    }
    steps.reverse();
    Some(steps)
}
