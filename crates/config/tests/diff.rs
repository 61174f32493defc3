//! What operators see of a change. Guards against changes that are left out or told with whole token
//! digests, and against moved entries that look like new ones.

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
fn fields_are_named_by_their_entry() {
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
fn token_digests_are_shortened() {
    let found = changes(|new| new.organisations[0].tokens.push(Document::digest("new")));
    assert_eq!(found, ["+ organisation.acme.tokens: 11507a0e2f5e…"]);
}

#[test]
fn the_order_of_calls_is_a_change() {
    let found = changes(|new| new.services[0].calls.swap(0, 1));
    let expected =
        "~ service.payments.call (order): POST /pay, GET /state/* => GET /state/*, POST /pay";
    assert_eq!(found, [expected]);
}

#[test]
fn whole_entries_come_and_go() {
    let found = changes(|new| {
        new.zones[1].name = "z3".parse().expect("a valid name");
    });
    let expected = [
        "- zone.z2: { name = \"z2\", region = \"r\" }",
        "+ zone.z3: { name = \"z3\", region = \"r\" }",
    ];
    assert_eq!(found, expected);
}
