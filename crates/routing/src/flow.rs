//! Upper bound on the throughput of a group of engines, computed as a maximum flow.

use std::collections::VecDeque;

use agatemill_core::layer;

/// Smallest residual capacity that is used; rounding errors could otherwise prevent termination.
const EPSILON: f64 = 1e-6;

/// An engine or link, modelled as an arc between layer boundaries.
#[derive(Clone, Copy, Debug)]
pub struct Arc {
    /// Layers that the arc spans.
    pub layers: layer::Range,
    /// Capacity in token positions per second.
    pub capacity: f64,
}

/// A maximum flow over the layers `0..layers`.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    /// Token positions per second that can pass through every layer.
    pub total: f64,
    /// Flow through each arc, in input order.
    pub arcs: Vec<f64>,
}

/// Computes the maximum flow with the Edmonds-Karp algorithm; the nodes of the graph are the layer boundaries.
///
/// The result bounds the tokens generated per second, because every token passes through every layer once.
#[must_use]
pub fn maximum(arcs: &[Arc], layers: u32) -> Flow {
    let mut used = vec![0.0; arcs.len()];
    let mut total = 0.0;
    while let Some(path) = augmenting_path(arcs, &used, layers) {
        let residual = |hop: &Hop| {
            if hop.forward {
                arcs[hop.arc].capacity - used[hop.arc]
            } else {
                used[hop.arc]
            }
        };
        let amount = path.iter().map(residual).fold(f64::INFINITY, f64::min);
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
    /// Whether the hop adds flow along the arc; otherwise it cancels existing flow.
    forward: bool,
}

/// Finds a shortest path with residual capacity from layer 0 to the last layer by breadth-first search.
fn augmenting_path(arcs: &[Arc], used: &[f64], layers: u32) -> Option<Vec<Hop>> {
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
            let is_reached = next == 0 || reached.get(next as usize).is_none_or(Option::is_some);
            if (forward || backward) && !is_reached {
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
