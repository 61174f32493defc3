//! Prints the size of documents of the design scale, and how long they take to parse and compare.

use std::time::Instant;

use agatemill_config::Document;
use agatemill_config::diff;

const MINIMAL: &str = include_str!("../../../examples/documents/minimal.toml");

fn main() {
    measure(26_000, 6_700);
    measure(26_000, 1);
    measure(1, 6_700);
    measure(2_500, 1_400);
}

fn measure(organisations: usize, engines: usize) {
    let text = document(organisations, engines).to_toml();
    let start = Instant::now();
    let parsed = Document::parse(&text).expect("the document has no fault");
    let parse = start.elapsed();
    let mut other = parsed.clone();
    other.organisations.remove(0);
    let start = Instant::now();
    let changes = diff(&parsed, &other).len();
    let compare = start.elapsed();
    println!(
        "{organisations} organisations, {engines} engines: {} bytes, parse {parse:.1?}, diff {compare:.1?} ({changes} change)",
        text.len(),
    );
}

fn document(organisations: usize, engines: usize) -> Document {
    let mut document = Document::parse(MINIMAL).expect("the example has no fault");
    let engine = document.engines.remove(0);
    let organisation = document.organisations.remove(0);
    document.engines = (0..engines)
        .map(|index| {
            let mut engine = engine.clone();
            engine.name = format!("e{index}").parse().expect("a valid name");
            let address = format!("10.0.{}.{}:7001", index / 250, index % 250 + 1);
            engine.address = address.parse().expect("a valid address");
            engine
        })
        .collect();
    document.organisations = (0..organisations)
        .map(|index| {
            let mut organisation = organisation.clone();
            organisation.name = format!("o{index}").parse().expect("a valid name");
            organisation.tokens = vec![Document::digest(organisation.name.as_str())];
            organisation
        })
        .collect();
    document
}
