//! Bound on the throughput of a group of engines.

use std::collections::VecDeque;

use agatemill_core::layer;

/// Smallest flow that counts, which keeps rounding from adding endless rounds.
const EPSILON: f64 = 1e-6;

/// An engine or link seen as an arc over layers.
#[derive(Clone, Copy, Debug)]
pub struct Arc {
    /// Layers that it runs.
    pub layers: layer::Range,
    /// Token positions in each second.
    pub capacity: f64,
}

/// The greatest flow over the layers `0..layers`, with the flow through each arc.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Token positions in each second that can pass every layer.
    pub total: f64,
    /// Flow through each arc, in the order given.
    pub arcs: Vec<f64>,
}

/// Computes the maximum flow (Edmonds and Karp) in the graph whose nodes are the layer boundaries.
///
/// It is the bound on generated tokens in each second: every token passes every layer once.
#[must_use]
pub fn maximum(arcs: &[Arc], layers: u32) -> Flow {
    let mut used = vec![0.0; arcs.len()];
    let mut total = 0.0;
    while let Some(path) = augmenting(arcs, &used, layers) {
        let spare = |hop: &Hop| {
            if hop.forward {
                arcs[hop.arc].capacity - used[hop.arc]
            } else {
                used[hop.arc]
            }
        };
        let amount = path.iter().map(spare).fold(f64::INFINITY, f64::min);
        for hop in &path {
            used[hop.arc] += if hop.forward { amount } else { -amount };
        }
        total += amount;
    }
    Flow { total, arcs: used }
}

#[derive(Clone, Copy, Debug)]
struct Hop {
    arc: usize,
    /// Whether the arc is used in its direction; otherwise its flow is reduced.
    forward: bool,
}

/// A shortest path with spare capacity from layer 0 to the last, found breadth first.
fn augmenting(arcs: &[Arc], used: &[f64], layers: u32) -> Option<Vec<Hop>> {
    let mut reached: Vec<Option<Hop>> = vec![None; layers as usize + 1];
    let mut queue = VecDeque::from([0]);
    while let Some(node) = queue.pop_front() {
        for (index, arc) in arcs.iter().enumerate() {
            let forward = arc.layers.start() == node && arc.capacity - used[index] > EPSILON;
            let backward = arc.layers.end() == node && used[index] > EPSILON;
            let next = if forward {
                arc.layers.end()
            } else {
                arc.layers.start()
            };
            let known = next == 0 || reached.get(next as usize).is_none_or(Option::is_some);
            if (forward || backward) && !known {
                reached[next as usize] = Some(Hop {
                    arc: index,
                    forward,
                });
                queue.push_back(next);
            }
        }
    }
    let mut path = Vec::new();
    let mut node = layers;
    while node != 0 {
        let hop = reached[node as usize]?;
        let arc = arcs[hop.arc];
        node = if hop.forward {
            arc.layers.start()
        } else {
            arc.layers.end()
        };
        path.push(hop);
    }
    Some(path)
}
