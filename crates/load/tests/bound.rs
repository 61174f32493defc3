//! The throughput bound of a fleet, compared with cases computed by hand.

use std::path::Path;

use agatemill_load::Bound;
use agatemill_load::bound::Document;

/// One zone of cards, each with enough memory for the whole model.
fn document(cards: u32, answer_tokens: f64, memory_mb: f64) -> Document {
    let text = format!(
        "requests_per_s = 10.0\nprompt_tokens = 1000.0\nanswer_tokens = {answer_tokens}\n\
        [model]\nlayers = 10\nlayer_mb = 100.0\ntoken_bytes = 1000000.0\nslots = 4\nstep_ms = 1.0\n\
        step_request_ms = 0.0\nstep_context_ms = 0.0\nread_tokens_per_ms = 100.0\n\
        [[kinds]]\nname = \"card\"\nmemory_mb = {memory_mb}\nstep_factor = 2.0\nread_factor = 3.0\n\
        [[cards]]\nzone = \"a\"\nkind = \"card\"\ncount = {cards}\n"
    );
    toml::from_str(&text).unwrap()
}

fn is_near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * b.abs()
}

/// Guards against a compute bound that ignores prompt processing, batching or the number of cards.
#[test]
fn compute_bound_counts_prompts_and_batched_steps() {
    // The prompt takes 1000 / 100 x 3 = 30 ms; 200 tokens in steps of 2 ms shared by four requests take 100 ms.
    let bound = Bound::compute(&document(2, 200.0, 100_000.0));
    assert!(is_near(bound.time_per_s, 2.0 * 1_000.0 / 130.0), "{bound}");
    assert!(is_near(bound.request_ms, 30.0 + 400.0), "{bound}");
    assert_eq!(bound.holders, 2);
}

/// Guards against a memory bound that counts the memory of the weights as free for tokens.
#[test]
fn memory_bound_counts_tokens_in_flight() {
    // 20,000 MB minus 1,000 MB of weights hold 19,000 tokens of 1 MB, or 17.3 requests of 1,100 tokens.
    let bound = Bound::compute(&document(1, 200.0, 20_000.0));
    assert!(is_near(bound.token_capacity, 19_000.0), "{bound}");
    assert!(
        is_near(bound.memory_per_s, 19_000.0 / 1_100.0 / 0.43),
        "{bound}"
    );
}

/// Guards against a loss of a card that does not reduce the bound because the remaining cards are counted twice.
#[test]
fn a_lost_card_costs_its_share() {
    let bound = Bound::compute(&document(4, 200.0, 100_000.0));
    assert!(is_near(bound.after_loss[0].1, 0.75), "{bound}");
    let single = Bound::compute(&document(1, 200.0, 100_000.0));
    assert!(single.after_loss[0].1.abs() < 1e-9, "{single}");
}

/// Guards against an example that no longer matches the format, and against documents that are accepted with
/// invalid values or unknown keys.
#[test]
fn documents_are_validated() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/bounds/small.toml");
    let text = std::fs::read_to_string(&example).unwrap();
    assert!(Document::load(&example).is_ok());
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("fleet.toml");
    for (from, to, word) in [
        ("step_ms = 1.0", "step_ms = 0.0", "model.step_ms"),
        ("kind = \"small\"", "kind = \"huge\"", "huge"),
        ("slots = 64", "seats = 64", "seats"),
    ] {
        std::fs::write(&file, text.replace(from, to)).unwrap();
        let error = Document::load(&file).unwrap_err().to_string();
        assert!(error.contains(word), "{error}");
    }
}
