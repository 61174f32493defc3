//! Property tests of parsing and comparing.
//!
//! Guards against panics on corrupted texts, against documents that change when they are serialised and
//! parsed again, and against differences that are not reported to operators.

use proptest::prelude::*;
use proptest::sample::Index;

use agatemill_config::Document;
use agatemill_config::diff;

const BASE: &str = include_str!("data/base.toml");
const LARGE: &str = include_str!("../../../examples/documents/kadunaledger-toponymie.toml");

/// Variants of the example document with changed numbers and with moved or removed entries.
fn documents() -> impl Strategy<Value = Document> {
    let numbers = (1_u32..9, 1_u32..9, any::<bool>());
    (numbers, any::<Index>(), any::<Index>(), 0_usize..4).prop_map(
        |((batch, weight, fencing), engine, organisation, dropped)| {
            let mut document = Document::parse(LARGE).expect("the example has no fault");
            let engine = engine.index(document.engines.len());
            document.engines[engine].batch = batch;
            document.engines[engine].fencing = fencing;
            let organisation = organisation.index(document.organisations.len());
            document.organisations[organisation].weight = weight;
            document.organisations.swap(0, organisation);
            document.organisations.truncate(6 - dropped);
            document
        },
    )
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_panic(text in ".{0,200}") {
        let _ = Document::parse(&text);
    }

    #[test]
    fn corrupted_documents_are_parsed_without_panic(
        start in any::<Index>(),
        length in 0_usize..40,
        insert in r#"[\[\]"{}=.,#a-z0-9\n -]{0,12}"#,
    ) {
        let start = start.index(BASE.len());
        let end = (start + length).min(BASE.len());
        let text = format!("{}{insert}{}", &BASE[..start], &BASE[end..]);
        match Document::parse(&text) {
            Ok(document) => prop_assert_eq!(Document::parse(&document.to_toml()), Ok(document)),
            Err(faults) => prop_assert!(!faults.as_slice().is_empty()),
        }
    }

    #[test]
    fn documents_round_trip(document in documents()) {
        prop_assert_eq!(Document::parse(&document.to_toml()), Ok(document));
    }

    #[test]
    fn only_equal_documents_have_no_difference(old in documents(), new in documents()) {
        prop_assert!(diff(&old, &old).is_empty());
        prop_assert_eq!(diff(&old, &new).is_empty(), old == new);
    }
}
