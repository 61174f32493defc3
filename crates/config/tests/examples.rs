//! Tests of the example documents.
//!
//! Guards against examples that a control would reject, and against a serde form that diverges from the
//! parser.

use std::fs;

use agatemill_config::Document;
use agatemill_config::diff;

#[test]
fn every_example_is_valid_and_round_trips() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/documents");
    let files: Vec<_> = fs::read_dir(directory).unwrap().collect();
    assert!(files.len() >= 2);
    for file in files {
        let path = file.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let document = Document::parse(&text).unwrap_or_else(|faults| panic!("{path:?}\n{faults}"));
        assert_eq!(toml::from_str(&text), Ok(document.clone()));
        assert_eq!(Document::parse(&document.to_toml()), Ok(document.clone()));
        assert_eq!(diff(&document, &document), []);
    }
}
