//! Generated load plans.

use core::time::Duration;

use agatemill_load::Plan;
use agatemill_load::plan::Shape;

/// Guards against plans that differ for the same seed, which would invalidate comparisons of policies.
#[test]
fn same_seed_gives_same_load() {
    let shape = Shape {
        calls: 0.2,
        ..Shape::default()
    };
    assert_eq!(Plan::new(&shape), Plan::new(&shape));
    assert_ne!(Plan::new(&shape), Plan::new(&Shape { seed: 2, ..shape }));
}

/// Guards against a plan that ignores the rate, the duration or the maximum number of requests.
#[test]
fn plan_respects_rate_duration_and_limit() {
    let shape = Shape {
        rate: 100.0,
        duration: Duration::from_secs(20),
        ..Shape::default()
    };
    let plan = Plan::new(&shape);
    assert!(
        (1_800..2_200).contains(&plan.requests.len()),
        "{}",
        plan.requests.len()
    );
    assert!(plan.requests.is_sorted_by_key(|request| request.at));
    assert!(
        plan.requests
            .iter()
            .all(|request| request.at <= shape.duration)
    );
    let short = Plan::new(&Shape { limit: 7, ..shape });
    assert_eq!(short.requests.len(), 7);
}
