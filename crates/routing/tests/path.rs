//! Checks the path search and the throughput bound against hand-computed cases.

use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use agatemill_core::layer;
use agatemill_routing::flow;
use agatemill_routing::path;

fn layers(text: &str) -> layer::Range {
    text.parse().expect("a range")
}

fn candidate(text: &str, cost: f64, fixed: f64) -> path::Candidate {
    path::Candidate {
        layers: layers(text),
        cost,
        fixed,
    }
}

fn arc(text: &str, capacity: f64) -> flow::Arc {
    flow::Arc {
        layers: layers(text),
        capacity,
    }
}

/// A candidate that is entered after its first layer must run, and cost, only its remaining layers.
#[test]
fn enters_overlapping_ranges_in_their_middle() {
    let candidates = [
        candidate("0..6", 6.0, 0.0),
        candidate("4..12", 4.0, 0.0),
        candidate("6..12", 5.0, 0.0),
    ];
    let steps = path::cheapest(&candidates, 12).expect("a path");
    let ranges: Vec<_> = steps
        .iter()
        .map(|step| (step.candidate, step.layers))
        .collect();
    assert_eq!(ranges, [(0, layers("0..6")), (1, layers("6..12"))]);
}

/// The fixed cost applies to each stage, so a large stage must win over several small ones when links are slow.
#[test]
fn applies_fixed_cost_to_each_stage() {
    let small = |fixed| [candidate("0..4", 1.0, fixed), candidate("4..8", 1.0, fixed)];
    let whole = candidate("0..8", 2.5, 0.1);
    let few = |fixed| {
        let [first, second] = small(fixed);
        path::cheapest(&[first, second, whole], 8)
            .expect("a path")
            .len()
    };
    assert_eq!(few(0.1), 2);
    assert_eq!(few(0.4), 1);
}

/// A sequence must not skip layers that no candidate has loaded.
#[test]
fn finds_no_path_over_a_gap() {
    let candidates = [candidate("0..4", 1.0, 0.0), candidate("5..8", 1.0, 0.0)];
    assert_eq!(path::cheapest(&candidates, 8), None);
    assert_eq!(path::cheapest(&candidates[..1], 8), None);
}

proptest! {
    /// Any path must cover every layer exactly once, with candidates that have the layers loaded.
    #[test]
    fn covers_every_layer_once(ranges in proptest::collection::vec((0_u32..10, 1_u32..6, any::<u8>()), 1..12)) {
        let candidates: Vec<_> = ranges
            .iter()
            .map(|(start, count, cost)| candidate(&format!("{start}..{}", start + count), f64::from(*cost), 1.0))
            .collect();
        if let Some(steps) = path::cheapest(&candidates, 10) {
            let mut next = 0;
            for step in steps {
                prop_assert_eq!(step.layers.start(), next);
                prop_assert!(candidates[step.candidate].layers.contains(step.layers));
                next = step.layers.end();
            }
            prop_assert_eq!(next, 10);
        }
    }
}

/// The bound is the smallest total capacity over any layer, not the sum or the largest.
#[test]
fn flow_is_limited_by_the_bottleneck_layers() {
    let arcs = [arc("0..4", 10.0), arc("0..4", 5.0), arc("4..8", 12.0)];
    assert!((flow::maximum(&arcs, 8).total - 12.0).abs() < 1e-6);
    assert!(flow::maximum(&arcs[..2], 8).total.abs() < 1e-6);
}

/// The search must cancel flow on an arc that was a wrong choice; a greedy search finds only 10 here.
#[test]
fn flow_cancels_a_wrong_choice() {
    let arcs = [
        arc("0..2", 10.0),
        arc("0..4", 10.0),
        arc("2..4", 10.0),
        arc("2..6", 10.0),
        arc("4..6", 10.0),
    ];
    let flow = flow::maximum(&arcs, 6);
    assert!((flow.total - 20.0).abs() < 1e-6, "{flow:?}");
    for (used, arc) in flow.arcs.iter().zip(&arcs) {
        assert!((0.0..=arc.capacity).contains(used), "{flow:?}");
    }
}
