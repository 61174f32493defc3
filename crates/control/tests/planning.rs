//! Unit tests of the decisions of the planner.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use agatemill_config::document::Engine;
use agatemill_control::planner::bucket::Bucket;
use agatemill_control::planner::plan;
use agatemill_control::planner::term::LEASE_TTL;
use agatemill_control::planner::term::ORDER_TIMEOUT;
use agatemill_control::planner::term::TERM_LENGTH;
use agatemill_control::planner::term::Term;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;
use agatemill_core::quantity::Rate;
use agatemill_engine::Status;

const SECOND: Duration = Duration::from_secs(1);

fn engine(name: &str, layers: &str) -> Engine {
    Engine {
        name: name.parse().expect("a valid id"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        half: "kadunaledger".parse().expect("a valid id"),
        zone: "zone-a".parse().expect("a valid id"),
        accelerator: "large".parse().expect("a valid id"),
        model: "drafter".parse().expect("a valid id"),
        version: "2".parse().expect("a valid id"),
        layers: layers.parse().expect("a range"),
        throughput: Rate::new(100.0).expect("a rate"),
        batch: 8,
        fencing: true,
    }
}

fn status(engine: &Engine, version: &str, layers: Option<layer::Range>) -> (id::Server, Status) {
    let status = Status {
        server: engine.name.clone(),
        model: engine.model.clone(),
        version: version.parse().expect("a valid id"),
        layers,
        draining: false,
        running: 0,
        waiting: 0,
        sessions: 0,
        capacity: 8,
        age_ms: 0,
        fence: Fence(0),
    };
    (engine.name.clone(), status)
}

fn names(loads: &[&Engine]) -> Vec<String> {
    loads.iter().map(|engine| engine.name.to_string()).collect()
}

/// Guards against loads for engines that need none or whose state is unclear: engines that hold their assignment
/// or more, load, drain, do not respond, or have a recent order.
#[test]
fn only_engines_without_their_assignment_are_ordered_to_load() {
    let engines: Vec<_> = [
        "holds", "more", "loading", "draining", "silent", "ordered", "old",
    ]
    .map(|name| engine(name, "0..8"))
    .into();
    let range = |text: &str| text.parse::<layer::Range>().ok();
    let mut statuses = BTreeMap::from([
        status(&engines[0], "2", range("0..8")),
        status(&engines[1], "2", range("0..16")),
        status(&engines[2], "1", None),
        status(&engines[3], "1", range("0..8")),
        status(&engines[5], "1", range("0..8")),
        status(&engines[6], "1", range("0..8")),
    ]);
    if let Some(draining) = statuses.get_mut(&engines[3].name) {
        draining.draining = true;
    }
    let ordered = BTreeSet::from([engines[5].name.clone()]);
    assert_eq!(
        names(&plan::pending_loads(&engines, &statuses, &ordered)),
        ["old"]
    );
}

/// Guards against a model that stays unusable because one layer range receives all the loads: the range with the
/// fewest holders comes first, counting loads earlier in the list.
#[test]
fn layers_with_the_fewest_holders_come_first() {
    let engines = [
        engine("a1", "0..8"),
        engine("a2", "0..8"),
        engine("a3", "0..8"),
        engine("b1", "8..16"),
        engine("b2", "8..16"),
    ];
    let old = |engine: &Engine| status(engine, "1", Some(engine.layers));
    let mut statuses: BTreeMap<_, _> = engines.iter().map(old).collect();
    statuses.extend([status(&engines[0], "2", Some(engines[0].layers))]);
    let loads = plan::pending_loads(&engines, &statuses, &BTreeSet::new());
    let ranges: Vec<_> = loads
        .iter()
        .map(|engine| engine.layers.to_string())
        .collect();
    assert_eq!(ranges, ["8..16", "0..8", "8..16", "0..8"]);
}

/// Guards against orders after the lease may have expired: the term starts when the renewal is sent, and its last
/// order ends before the lease can expire.
#[test]
fn a_term_ends_well_before_its_lease() {
    let mut term = Term::new(Fence(1), 10 * SECOND, 11 * SECOND);
    assert!(term.is_active(10 * SECOND + TERM_LENGTH.saturating_sub(SECOND / 10)));
    assert!(!term.is_active(10 * SECOND + TERM_LENGTH));
    assert!(TERM_LENGTH + ORDER_TIMEOUT < LEASE_TTL);
    term.renew(14 * SECOND);
    assert!(term.is_active(14 * SECOND + TERM_LENGTH.saturating_sub(SECOND / 10)));
    // The term of a process that was paused has ended.
    assert!(!term.may_order(60 * SECOND, true));
}

/// Guards against overlapping orders of two planners at an engine that ignores fencing numbers.
#[test]
fn engines_that_ignore_fencing_wait_for_the_last_term() {
    let acquired = 11 * SECOND;
    let mut term = Term::new(Fence(1), 10 * SECOND, acquired);
    let wait = LEASE_TTL + ORDER_TIMEOUT;
    term.renew(acquired + wait.saturating_sub(SECOND));
    assert!(term.may_order(acquired + wait.saturating_sub(SECOND), true));
    assert!(!term.may_order(acquired + wait.saturating_sub(SECOND), false));
    assert!(term.may_order(acquired + wait, false));
}

/// Guards against loads above the rate limit of the weight store, also at the start of a term and after an idle
/// period.
#[test]
fn loads_respect_the_rate_limit() {
    let rate = Rate::new(2.0).expect("a rate");
    let mut bucket = Bucket::new(Duration::ZERO);
    let taken = |bucket: &mut Bucket, from: u64, to: u64| {
        (from..to)
            .filter(|tenth| bucket.try_take(Duration::from_millis(100 * tenth), rate))
            .count()
    };
    assert_eq!(taken(&mut bucket, 0, 4), 0);
    let steady = taken(&mut bucket, 4, 104);
    assert!((19..=21).contains(&steady), "{steady} loads in 10 s");
    let burst = taken(&mut bucket, 1_000, 1_002);
    assert_eq!(burst, 2);
    assert!(!Bucket::new(Duration::ZERO).try_take(SECOND, Rate::new(0.0).expect("a rate")));
}
