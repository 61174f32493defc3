//! Tests of the faults reported for malformed documents.
//!
//! Guards against documents that are accepted although they violate an invariant, against reports that stop
//! at the first fault, and against wrong fields and lines in reports.

use agatemill_config::Document;

/// A valid document; the scripts replace, add or remove parts of it.
const BASE: &str = include_str!("data/base.toml");

#[test]
fn malformed_documents_are_reported_in_full() {
    datadriven::walk("tests/data/faults", |file| {
        file.run(|case| match case.directive.as_str() {
            "parse" => report(&case.input),
            // Each line has the form `old => new`; `;` in `new` starts a new line.
            "replace" => report(&replace(&case.input)),
            "append" => report(&format!("{BASE}{}", case.input)),
            other => panic!("unknown directive {other}"),
        });
    });
}

fn replace(script: &str) -> String {
    script.lines().fold(BASE.to_owned(), |text, line| {
        let (old, new) = line.split_once(" => ").expect("a line reads `old => new`");
        assert_eq!(
            text.matches(old).count(),
            1,
            "{old} is not unique in the base"
        );
        text.replace(old, &new.replace(';', "\n"))
    })
}

fn report(text: &str) -> String {
    match Document::parse(text) {
        Ok(document) => {
            assert_eq!(
                toml::from_str(text),
                Ok(document),
                "serde reads the document differently"
            );
            "ok\n".to_owned()
        }
        Err(faults) => format!("{faults}\n"),
    }
}
