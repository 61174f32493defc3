//! Decisions of configuration changes and promotions.
//!
//! Guards against two operators who both believe that their document is in force, against a lost answer
//! that is taken for a refusal, and against writes of equal or oversized documents.

use assert_matches::assert_matches;

use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_ctl::apply::Action;
use agatemill_ctl::apply::Apply;
use agatemill_ctl::apply::Current;
use agatemill_ctl::apply::End;
use agatemill_ctl::apply::MAX_VALUE_BYTES;
use agatemill_ctl::apply::Request;
use agatemill_ctl::promote;
use agatemill_ctl::promote::Source;

fn request(name: &str) -> Request {
    Request {
        text: format!("text of {name}"),
        author: name.into(),
        write: name.into(),
        expect: None,
        cluster: Generation(0),
    }
}

fn current(revision: u64, generation: u64) -> Current {
    let name = format!("w{revision}").into();
    let envelope = Envelope::new(Generation(generation), name, "a".into(), "old".to_owned());
    Current {
        revision: Revision(revision),
        envelope: Some(envelope),
    }
}

#[test]
fn the_generation_is_above_the_platform_and_the_cluster() {
    let mut wanted = request("a");
    wanted.cluster = Generation(9);
    let apply = Apply::start(wanted, &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(10));
    let apply = Apply::start(request("a"), &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(5));
}

#[test]
fn nothing_is_written_without_need_or_against_expectation() {
    let mut wanted = request("a");
    wanted.text = "old".to_owned();
    assert_matches!(
        Apply::start(wanted, &current(5, 4)),
        Err(End::Unchanged(Generation(4)))
    );
    let mut wanted = request("a");
    wanted.expect = Some(Generation(3));
    assert_matches!(
        Apply::start(wanted, &current(5, 4)),
        Err(End::Unexpected { .. })
    );
    let mut wanted = request("a");
    wanted.text = "x".repeat(MAX_VALUE_BYTES);
    assert_matches!(
        Apply::start(wanted, &current(5, 4)),
        Err(End::TooLarge { .. })
    );
}

#[test]
fn answers_that_stay_lost_end_as_uncertain() {
    let mut apply = Apply::start(request("a"), &current(5, 4)).unwrap();
    for _ in 0..4 {
        assert_eq!(apply.lost(), Action::ReadBack);
    }
    assert_eq!(apply.lost(), Action::End(End::Uncertain));
}

#[test]
fn a_platform_that_lost_a_change_is_not_taken_for_what_is_in_force() {
    let mut wanted = request("a");
    wanted.text = "old".to_owned();
    wanted.cluster = Generation(6);
    let apply = Apply::start(wanted.clone(), &current(5, 4)).unwrap();
    assert_eq!(apply.generation(), Generation(7));
    wanted.expect = Some(Generation(4));
    let found = Generation(6);
    assert_matches!(Apply::start(wanted, &current(5, 4)), Err(End::Unexpected { found: f, .. }) if f == found);
}

/// The platform's key with all documents that were ever in force.
#[derive(Clone)]
struct Key {
    revision: u64,
    history: Vec<Envelope>,
}

impl Key {
    fn current(&self) -> Current {
        Current {
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

/// What may happen to a write.
#[derive(Clone, Copy)]
enum Fate {
    Answered,
    LostAfter,
    LostBefore,
    /// The answer is lost and the write arrives at a later moment.
    Delayed,
}

#[derive(Clone)]
enum Operator {
    Idle(&'static str),
    Busy(Apply, Action),
    Done(End),
}

#[derive(Clone)]
struct World {
    key: Key,
    operators: [Operator; 2],
    delayed: Vec<Action>,
    /// Answers that may still be lost.
    losses: u32,
}

/// Runs every interleaving of the steps of both operators with every fate of their writes.
fn explore(world: &World, ends: &mut usize) {
    let mut ended = true;
    for index in 0..world.operators.len() {
        for fate in [
            Fate::Answered,
            Fate::LostAfter,
            Fate::LostBefore,
            Fate::Delayed,
        ] {
            if let Some(next) = step(world, index, fate) {
                ended = false;
                explore(&next, ends);
            }
        }
    }
    for index in 0..world.delayed.len() {
        let mut next = world.clone();
        if let Action::Swap { value, expected } = next.delayed.remove(index) {
            next.key.swap(&value, expected);
        }
        explore(&next, ends);
    }
    if ended {
        *ends += 1;
        check(world);
    }
}

fn step(world: &World, index: usize, fate: Fate) -> Option<World> {
    let mut next = world.clone();
    let lossy = !matches!(fate, Fate::Answered);
    let operator = match next.operators[index].clone() {
        Operator::Done(_) => return None,
        Operator::Busy(_, Action::ReadBack) | Operator::Idle(_) if lossy => return None,
        Operator::Idle(name) => match Apply::start(request(name), &next.key.current()) {
            Ok(apply) => {
                let action = apply.swap();
                Operator::Busy(apply, action)
            }
            Err(end) => Operator::Done(end),
        },
        Operator::Busy(apply, Action::ReadBack) => proceed(apply.found(&next.key.current()), apply),
        Operator::Busy(mut apply, Action::Swap { value, expected }) => {
            next.losses = next.losses.checked_sub(u32::from(lossy))?;
            let action = match fate {
                Fate::Answered if next.key.swap(&value, expected) => apply.written(),
                Fate::Answered => apply.found(&next.key.current()),
                Fate::LostAfter => {
                    next.key.swap(&value, expected);
                    apply.lost()
                }
                Fate::LostBefore => apply.lost(),
                Fate::Delayed => {
                    next.delayed.push(Action::Swap { value, expected });
                    apply.lost()
                }
            };
            proceed(action, apply)
        }
        Operator::Busy(_, Action::End(end)) => Operator::Done(end),
    };
    next.operators[index] = operator;
    Some(next)
}

fn proceed(action: Action, apply: Apply) -> Operator {
    match action {
        Action::End(end) => Operator::Done(end),
        action => Operator::Busy(apply, action),
    }
}

fn check(world: &World) {
    let generations: Vec<_> = world
        .key
        .history
        .iter()
        .map(|found| found.generation)
        .collect();
    assert!(generations.is_sorted_by(|a, b| a < b), "{generations:?}");
    for (operator, name) in world.operators.iter().zip(["a", "b"]) {
        let written = world.key.history.iter().filter(|found| found.write == name);
        let written: Vec<_> = written.map(|found| found.generation).collect();
        match operator {
            Operator::Done(End::Accepted(generation)) => assert_eq!(written, [*generation]),
            // An overtaken document is never the one in force.
            Operator::Done(End::Overtaken { .. }) => {
                assert_ne!(world.key.history.last().unwrap().write, name);
            }
            Operator::Done(other) => panic!("unexpected end {other}"),
            _ => panic!("an operator did not end"),
        }
    }
}

#[test]
fn two_operators_racing_in_all_interleavings() {
    let in_force = current(7, 4).envelope.unwrap();
    let world = World {
        key: Key {
            revision: 7,
            history: vec![in_force],
        },
        operators: [Operator::Idle("a"), Operator::Idle("b")],
        delayed: Vec::new(),
        losses: 3,
    };
    let mut ends = 0;
    explore(&world, &mut ends);
    println!("{ends} interleavings");
    assert!(ends > 100, "only {ends} interleavings were explored");
}

#[test]
fn a_promotion_notices_that_the_source_moved() {
    let before = current(10, 3);
    let written = Some(Revision(20));
    assert_eq!(promote::judge(&before, &before, written), Source::Same);
    assert_eq!(
        promote::judge(&before, &current(19, 4), written),
        Source::Moved
    );
    assert_eq!(
        promote::judge(&before, &current(21, 4), written),
        Source::Same
    );
    // Two changes: the first may have come before the write.
    assert_eq!(
        promote::judge(&before, &current(21, 5), written),
        Source::Moved
    );
    assert_eq!(
        promote::judge(&before, &current(21, 4), None),
        Source::Moved
    );
}
