//! Tests of the differences shown to operators.
//!
//! Guards against changes that are omitted or displayed with full token digests, and against moved entries
//! that are reported as new.

use agatemill_config::Document;
use agatemill_config::diff;

const BASE: &str = include_str!("data/base.toml");

fn changes(edit: impl Fn(&mut Document)) -> Vec<String> {
    let old = Document::parse(BASE).expect("the base has no fault");
    let mut new = old.clone();
    edit(&mut new);
    let changes = diff(&old, &new);
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn fields_are_reported_under_their_entry() {
    let found = changes(|new| {
        new.engines[1].batch = 8;
        new.organisations[0].models.clear();
    });
    let expected = [
        "~ engine.e2.batch: 16 => 8",
        "- organisation.acme.models: \"draft\"",
    ];
    assert_eq!(found, expected);
}

#[test]
fn token_digests_are_abbreviated() {
    let found = changes(|new| new.organisations[0].tokens.push(Document::digest("new")));
    assert_eq!(found, ["+ organisation.acme.tokens: 11507a0e2f5e…"]);
}

#[test]
fn reordered_calls_are_reported() {
    let found = changes(|new| new.services[0].calls.swap(0, 1));
    let expected =
        "~ service.payments.call (order): POST /pay, GET /state/* => GET /state/*, POST /pay";
    assert_eq!(found, [expected]);
}

#[test]
fn added_and_removed_entries_are_reported() {
    let found = changes(|new| {
        new.zones[1].name = "z3".parse().expect("a valid name");
    });
    let expected = [
        "- zone.z2: { name = \"z2\", region = \"r\" }",
        "+ zone.z3: { name = \"z3\", region = \"r\" }",
    ];
    assert_eq!(found, expected);
}
