//! State machines of configuration changes and promotions.
//!
//! Guards against two operators who are both told that their document is in force, against a lost response that is
//! treated as a rejection, and against writes of unchanged or oversized documents.

use assert_matches::assert_matches;

use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_ctl::apply::Action;
use agatemill_ctl::apply::Apply;
use agatemill_ctl::apply::MAX_VALUE_BYTES;
use agatemill_ctl::apply::Outcome;
use agatemill_ctl::apply::Request;
use agatemill_ctl::apply::Snapshot;
use agatemill_ctl::promote;
use agatemill_ctl::promote::Source;

fn request(name: &str) -> Request {
    Request {
        text: format!("text of {name}"),
        author: name.into(),
        write_id: name.into(),
        expected_generation: None,
        cluster_generation: Generation(0),
    }
}

fn current(revision: u64, generation: u64) -> Snapshot {
    let name = format!("w{revision}").into();
    let envelope = Envelope::new(Generation(generation), name, "a".into(), "old".to_owned());
    Snapshot {
        revision: Revision(revision),
        envelope: Some(envelope),
    }
}

#[test]
fn the_generation_is_above_the_platform_and_the_cluster() {
    let mut change = request("a");
    change.cluster_generation = Generation(9);
    let apply = Apply::start(change, &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(10));
    let apply = Apply::start(request("a"), &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(5));
}

#[test]
fn unchanged_unexpected_or_oversized_documents_are_not_written() {
    let mut change = request("a");
    change.text = "old".to_owned();
    assert_matches!(
        Apply::start(change, &current(5, 4)),
        Err(Outcome::Unchanged(Generation(4)))
    );
    let mut change = request("a");
    change.expected_generation = Some(Generation(3));
    assert_matches!(
        Apply::start(change, &current(5, 4)),
        Err(Outcome::GenerationMismatch { .. })
    );
    let mut change = request("a");
    change.text = "x".repeat(MAX_VALUE_BYTES);
    assert_matches!(
        Apply::start(change, &current(5, 4)),
        Err(Outcome::TooLarge { .. })
    );
}

#[test]
fn repeatedly_lost_responses_end_as_uncertain() {
    let mut apply = Apply::start(request("a"), &current(5, 4)).unwrap();
    for _ in 0..4 {
        assert_eq!(apply.on_lost_response(), Action::ReadBack);
    }
    assert_eq!(apply.on_lost_response(), Action::Finish(Outcome::Uncertain));
}

#[test]
fn a_platform_that_lost_a_change_does_not_determine_what_is_in_force() {
    let mut change = request("a");
    change.text = "old".to_owned();
    change.cluster_generation = Generation(6);
    let apply = Apply::start(change.clone(), &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(7));
    change.expected_generation = Some(Generation(4));
    let found = Generation(6);
    assert_matches!(
        Apply::start(change, &current(5, 4)),
        Err(Outcome::GenerationMismatch { found: f, .. }) if f == found
    );
}

/// The configuration key of the platform with the history of its documents.
#[derive(Clone)]
struct StoredKey {
    revision: u64,
    history: Vec<Envelope>,
}

impl StoredKey {
    fn current(&self) -> Snapshot {
        Snapshot {
            revision: Revision(self.revision),
            envelope: self.history.last().cloned(),
        }
    }

    fn swap(&mut self, value: &[u8], expected: Revision) -> bool {
        let done = expected == Revision(self.revision);
        if done {
            self.revision += 1;
            self.history.push(serde_json::from_slice(value).unwrap());
        }
        done
    }
}

/// Result of the transmission of a write.
#[derive(Clone, Copy)]
enum Transmission {
    Answered,
    ResponseLost,
    RequestLost,
    /// The response is lost and the request arrives later.
    RequestDelayed,
}

#[derive(Clone)]
enum Operator {
    Idle(&'static str),
    Busy(Apply, Action),
    Done(Outcome),
}

#[derive(Clone)]
struct Simulation {
    key: StoredKey,
    operators: [Operator; 2],
    delayed: Vec<Action>,
    /// Number of responses that may still be lost.
    remaining_losses: u32,
}

/// Explores every interleaving of the steps of both operators with every result of the transmission of their writes.
fn explore(simulation: &Simulation, interleavings: &mut usize) {
    let mut is_finished = true;
    for index in 0..simulation.operators.len() {
        for transmission in [
            Transmission::Answered,
            Transmission::ResponseLost,
            Transmission::RequestLost,
            Transmission::RequestDelayed,
        ] {
            if let Some(next) = step(simulation, index, transmission) {
                is_finished = false;
                explore(&next, interleavings);
            }
        }
    }
    for index in 0..simulation.delayed.len() {
        let mut next = simulation.clone();
        if let Action::Swap { value, expected } = next.delayed.remove(index) {
            next.key.swap(&value, expected);
        }
        explore(&next, interleavings);
    }
    if is_finished {
        *interleavings += 1;
        check(simulation);
    }
}

fn step(simulation: &Simulation, index: usize, transmission: Transmission) -> Option<Simulation> {
    let mut next = simulation.clone();
    let is_faulty = !matches!(transmission, Transmission::Answered);
    let operator = match next.operators[index].clone() {
        Operator::Done(_) => return None,
        Operator::Busy(_, Action::ReadBack) | Operator::Idle(_) if is_faulty => return None,
        Operator::Idle(name) => match Apply::start(request(name), &next.key.current()) {
            Ok(apply) => {
                let action = apply.swap();
                Operator::Busy(apply, action)
            }
            Err(end) => Operator::Done(end),
        },
        Operator::Busy(apply, Action::ReadBack) => {
            proceed(apply.on_read(&next.key.current()), apply)
        }
        Operator::Busy(mut apply, Action::Swap { value, expected }) => {
            next.remaining_losses = next.remaining_losses.checked_sub(u32::from(is_faulty))?;
            let action = match transmission {
                Transmission::Answered if next.key.swap(&value, expected) => apply.on_written(),
                Transmission::Answered => apply.on_read(&next.key.current()),
                Transmission::ResponseLost => {
                    next.key.swap(&value, expected);
                    apply.on_lost_response()
                }
                Transmission::RequestLost => apply.on_lost_response(),
                Transmission::RequestDelayed => {
                    next.delayed.push(Action::Swap { value, expected });
                    apply.on_lost_response()
                }
            };
            proceed(action, apply)
        }
        Operator::Busy(_, Action::Finish(end)) => Operator::Done(end),
    };
    next.operators[index] = operator;
    Some(next)
}

fn proceed(action: Action, apply: Apply) -> Operator {
    match action {
        Action::Finish(outcome) => Operator::Done(outcome),
        action => Operator::Busy(apply, action),
    }
}

fn check(simulation: &Simulation) {
    let generations: Vec<_> = simulation
        .key
        .history
        .iter()
        .map(|found| found.generation)
        .collect();
    assert!(generations.is_sorted_by(|a, b| a < b), "{generations:?}");
    for (operator, name) in simulation.operators.iter().zip(["a", "b"]) {
        let written = simulation
            .key
            .history
            .iter()
            .filter(|found| found.write == name);
        let written: Vec<_> = written.map(|found| found.generation).collect();
        match operator {
            Operator::Done(Outcome::Accepted(generation)) => assert_eq!(written, [*generation]),
            // A superseded document is never the one in force.
            Operator::Done(Outcome::Superseded { .. }) => {
                assert_ne!(simulation.key.history.last().unwrap().write, name);
            }
            Operator::Done(other) => panic!("unexpected outcome {other}"),
            _ => panic!("an operator did not finish"),
        }
    }
}

#[test]
fn two_operators_racing_in_all_interleavings() {
    let in_force = current(7, 4).envelope.unwrap();
    let simulation = Simulation {
        key: StoredKey {
            revision: 7,
            history: vec![in_force],
        },
        operators: [Operator::Idle("a"), Operator::Idle("b")],
        delayed: Vec::new(),
        remaining_losses: 3,
    };
    let mut interleavings = 0;
    explore(&simulation, &mut interleavings);
    println!("{interleavings} interleavings");
    assert!(
        interleavings > 100,
        "only {interleavings} interleavings were explored"
    );
}

#[test]
fn a_promotion_detects_a_changed_source() {
    let before = current(10, 3);
    let written = Some(Revision(20));
    assert_eq!(
        promote::compare_source(&before, &before, written),
        Source::Unchanged
    );
    assert_eq!(
        promote::compare_source(&before, &current(19, 4), written),
        Source::Changed
    );
    assert_eq!(
        promote::compare_source(&before, &current(21, 4), written),
        Source::Unchanged
    );
    // Of two changes, the first may precede the write.
    assert_eq!(
        promote::compare_source(&before, &current(21, 5), written),
        Source::Changed
    );
    assert_eq!(
        promote::compare_source(&before, &current(21, 4), None),
        Source::Changed
    );
}
