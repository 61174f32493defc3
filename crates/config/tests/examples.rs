//! The example documents. Guards against examples that a control would refuse and against a change of
//! the serde form that differs from what is parsed.

use std::fs;

use agatemill_config::Document;
use agatemill_config::diff;

#[test]
fn every_example_is_taken_and_survives_a_round_trip() {
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
