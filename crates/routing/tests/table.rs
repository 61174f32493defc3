//! Tests of the choice of chains: coverage, isolation of the halves, ejection, subsets and versions.

use core::time::Duration;
use std::collections::HashSet;

use agatemill_config::Document;
use agatemill_config::document;
use agatemill_core::id;
use agatemill_core::quantity::Rate;
use agatemill_core::quantity::Size;
use agatemill_routing::Chain;
use agatemill_routing::Report;
use agatemill_routing::Request;
use agatemill_routing::Table;
use agatemill_routing::chain;
use agatemill_routing::policy;

const NOW: Duration = Duration::from_secs(1);

fn id<T: core::str::FromStr<Err: core::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid id")
}

fn engine(name: &str, half: &str, layers: &str, zone: &str) -> document::Engine {
    document::Engine {
        name: id(name),
        address: "127.0.0.1:1".parse().expect("an address"),
        half: id(half),
        zone: id(zone),
        accelerator: id("a"),
        model: id("m"),
        version: id("1"),
        layers: id(layers),
        throughput: Rate::new(100.0).expect("a rate"),
        batch: 8,
        fencing: false,
    }
}

fn document(engines: Vec<document::Engine>) -> Document {
    let model = |version: &str| document::Model {
        name: id("m"),
        version: id(version),
        layers: 8,
        activation: Size(8),
    };
    Document {
        halves: vec![id("one"), id("two")],
        models: vec![model("1"), model("2")],
        engines,
        ..Document::default()
    }
}

fn table(engines: Vec<document::Engine>) -> Table {
    let table = Table::new(id("host"), id("near"), policy::estimated());
    table.apply(&document(engines));
    table
}

fn request(half: &str) -> Request {
    Request {
        half: id(half),
        model: id("m"),
        prefix: None,
        exclude: Vec::new(),
    }
}

fn names(chain: &Chain) -> Vec<&str> {
    chain
        .stages()
        .iter()
        .map(|stage| stage.server.as_str())
        .collect()
}

/// Engines that get new sessions while `count` sessions are opened and none is closed.
fn used_engines(table: &Table, count: usize, now: Duration) -> HashSet<id::Server> {
    let chains = (0..count).filter_map(|_| table.choose(&request("one"), now));
    let stages = chains.flat_map(|chain| chain.stages().to_vec());
    stages.map(|stage| stage.server).collect()
}

fn eject(table: &Table, server: &str) {
    for _ in 0..3 {
        table.record_failure(&id(server), NOW);
    }
}

/// Stages that skip or repeat layers must not become a chain.
#[test]
fn chain_refuses_gaps_and_overlaps() {
    let stage = |layers: &str| chain::Stage {
        server: id("a"),
        address: "127.0.0.1:1".parse().expect("an address"),
        layers: id(layers),
    };
    let new = |ranges: &[&str]| {
        let stages = ranges.iter().map(|layers| stage(layers)).collect();
        Chain::new(id("m"), id("1"), 8, stages)
    };
    assert!(new(&["0..4", "4..8"]).is_ok());
    for bad in [
        &["0..4", "5..8"][..],
        &["0..4", "3..8"],
        &["0..4"],
        &["4..8", "0..4"],
        &[],
    ] {
        assert!(new(bad).is_err(), "{bad:?}");
    }
}

/// Neither the engines nor the load or health of one half may be seen in the other.
#[test]
fn halves_are_isolated() {
    let table = table(vec![
        engine("a", "one", "0..8", "z"),
        engine("b", "two", "0..8", "z"),
    ]);
    assert_eq!(
        names(&table.choose(&request("one"), NOW).expect("a chain")),
        ["a"]
    );
    eject(&table, "a");
    table.record_missed_query(&id("a"));
    table.record_missed_query(&id("a"));
    assert_eq!(table.choose(&request("one"), NOW), None);
    assert_eq!(
        names(&table.choose(&request("two"), NOW).expect("a chain")),
        ["b"]
    );
}

/// Leaving, draining and excluded engines must get no new sessions.
#[test]
fn skips_leaving_draining_and_excluded_engines() {
    let table = table(vec![
        engine("a", "one", "0..8", "z"),
        engine("b", "one", "0..8", "z"),
    ]);
    let report = |draining| Report {
        model: id("m"),
        version: id("1"),
        layers: Some(id("0..8")),
        draining,
        sessions: 0,
        counted: NOW,
    };
    table.record_report(&id("a"), &report(true));
    assert_eq!(used_engines(&table, 10, NOW), HashSet::from([id("b")]));
    table.record_report(&id("a"), &report(false));
    assert_eq!(used_engines(&table, 20, NOW).len(), 2);
    let mut exclude = request("one");
    exclude.exclude = vec![id("b")];
    assert_eq!(names(&table.choose(&exclude, NOW).expect("a chain")), ["a"]);
    table.set_leaving(&["127.0.0.1".parse().expect("an address")]);
    assert_eq!(table.choose(&request("one"), NOW), None);
}

/// If most breakers are open, the cause is the load; ejecting more than a third would overload the rest.
#[test]
fn ejects_a_third_at_most() {
    for (total, ejected) in [(1, 0), (2, 1), (3, 1), (4, 1), (5, 1), (6, 2), (9, 3)] {
        let name = |index: usize| format!("e{index}");
        let engines = (0..total).map(|index| engine(&name(index), "one", "0..8", "z"));
        let table = table(engines.collect());
        (0..total).for_each(|index| eject(&table, &name(index)));
        let used = used_engines(&table, 10 * total, NOW).len();
        assert_eq!(total - used, ejected, "of {total}");
    }
}

/// A trial request that ends without a result must not leave its engine ejected forever.
#[test]
fn retries_an_engine_whose_trial_had_no_result() {
    let table = table(vec![
        engine("a", "one", "0..8", "z"),
        engine("b", "one", "0..8", "z"),
    ]);
    eject(&table, "a");
    let later = NOW + Duration::from_secs(5);
    let chains: Vec<_> = (0..10)
        .filter_map(|_| table.choose(&request("one"), later))
        .collect();
    assert!(chains.iter().any(|chain| names(chain) == ["a"]));
    for chain in &chains {
        table.record_close(chain, later);
    }
    let much_later = later + Duration::from_mins(1);
    assert!(used_engines(&table, 10, much_later).contains(&id("a")));
}

/// The subset bounds the status queries that an engine receives, and must include engines of other zones.
#[test]
fn selects_the_subset_from_both_zones() {
    for (near, far, from_near, from_far) in
        [(20, 20, 8, 8), (4, 20, 4, 12), (20, 3, 13, 3), (2, 2, 2, 2)]
    {
        let near = (0..near).map(|index| engine(&format!("n{index}"), "one", "0..8", "near"));
        let far = (0..far).map(|index| engine(&format!("f{index}"), "one", "0..8", "far"));
        let targets = table(near.chain(far).collect()).targets();
        let count = |start: &str| {
            let names = targets.iter().map(|target| target.server.as_str());
            names.filter(|name| name.starts_with(start)).count()
        };
        assert_eq!((count("n"), count("f")), (from_near, from_far));
    }
}

/// Requests must use the newest version that has a chain, so that loading a version interrupts no service.
#[test]
fn falls_back_to_the_older_version_while_the_newer_has_no_chain() {
    let mut newer = engine("b", "one", "0..4", "z");
    newer.version = id("2");
    let mut rest = engine("c", "one", "4..8", "z");
    rest.version = id("2");
    let older = engine("a", "one", "0..8", "z");
    let partial = table(vec![older.clone(), newer.clone()]);
    assert_eq!(
        names(&partial.choose(&request("one"), NOW).expect("a chain")),
        ["a"]
    );
    let whole = table(vec![older, newer, rest]);
    assert_eq!(
        names(&whole.choose(&request("one"), NOW).expect("a chain")),
        ["b", "c"]
    );
}

/// A new document must not reset load and health of the engines that stay.
#[test]
fn keeps_state_over_a_new_document() {
    let engines = vec![
        engine("a", "one", "0..8", "z"),
        engine("b", "one", "0..8", "z"),
    ];
    let table = table(engines.clone());
    eject(&table, "a");
    table.apply(&document(engines));
    assert_eq!(used_engines(&table, 10, NOW), HashSet::from([id("b")]));
}
