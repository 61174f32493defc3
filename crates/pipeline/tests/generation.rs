//! Complete and correct answers (G1, G2) and correct outcomes (G3) when engines fail.

mod fleet;

use core::time::Duration;

use crate::fleet::Fleet;
use agatemill_core::Outcome;
use agatemill_core::Reason;
use agatemill_engine::failure::Code;
use agatemill_fake::engine::Faults;
use agatemill_pipeline::Event;
use agatemill_pipeline::event::Finish;

/// Step timeout for tests in which no step hangs. The tests count moves, so it exceeds any delay on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Step timeout for tests in which a step hangs.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

const PROMPT: &str = "draft a summary of the claim against the tenant";

/// Runs one generation with two engines per stage. After three tokens, `fault` is injected into the engines of
/// `stages` that have the session.
async fn with_fault(stages: &[usize], fault: impl Fn(&mut Faults)) -> Fleet {
    with_fault_in(TIMEOUT, stages, fault).await
}

async fn with_fault_in(timeout: Duration, stages: &[usize], fault: impl Fn(&mut Faults)) -> Fleet {
    let fleet = Fleet::start(2, timeout).await;
    let (receiver, task) = fleet.spawn("r", PROMPT);
    let tokens = fleet::read(&receiver, 3).await;
    for stage in stages {
        let busy = fleet.busy(*stage);
        fleet.fault(*stage, busy, &fault);
    }
    fleet::check_answer(&receiver, tokens, PROMPT).await;
    assert_eq!(task.await, Outcome::Complete);
    fleet.check_executions(Vec::new());
    fleet.check_cancelled().await;
    fleet
}

/// Without faults, a skipped, repeated or reordered layer or position produces a different token.
#[test]
fn gives_the_right_tokens_over_three_stages() {
    smol::block_on(async {
        let fleet = Fleet::start(1, TIMEOUT).await;
        let (receiver, task) = fleet.spawn("r", PROMPT);
        fleet::check_answer(&receiver, Vec::new(), PROMPT).await;
        assert_eq!(task.await, Outcome::Complete);
        fleet.check_executions(Vec::new());
        fleet.check_cancelled().await;
    });
}

/// A resumed stream must continue with the index after the caller's last token, and the limit counts the
/// tokens that the caller has.
#[test]
fn skips_tokens_and_stops_at_the_limit() {
    smol::block_on(async {
        let fleet = Fleet::start(1, TIMEOUT).await;
        let mut request = fleet::request("r", PROMPT);
        request.skip = 3;
        request.max_tokens = 5;
        let (receiver, _task) = fleet.spawn_request(request, 10);
        let expected = agatemill_fake::model::expected("m", fleet::LAYERS, PROMPT, 5);
        for (position, (token, _)) in expected.iter().enumerate().skip(3) {
            let event = receiver.recv().await.expect("an event").expect("a token");
            assert!(
                matches!(event, Event::Token { index, id, .. } if index as usize == position && id == *token)
            );
        }
        let event = receiver.recv().await.expect("an event").expect("an end");
        assert!(matches!(
            event,
            Event::End {
                reason: Finish::Length,
                ..
            }
        ));
    });
}

/// The death of a stage must delay the stream but lose no token.
#[test]
fn continues_when_a_stage_is_killed() {
    smol::block_on(async {
        for stage in 0..3 {
            let fleet = Fleet::start(2, TIMEOUT).await;
            let (receiver, task) = fleet.spawn("r", PROMPT);
            let tokens = fleet::read(&receiver, 3).await;
            let killed = fleet.kill(stage, fleet.busy(stage));
            fleet::check_answer(&receiver, tokens, PROMPT).await;
            assert_eq!(task.await, Outcome::Complete);
            fleet.check_executions(vec![killed]);
            fleet.check_cancelled().await;
            assert_eq!(fleet.count("agatemill_retries", "stage_lost"), 1);
            assert_eq!(fleet.open_sessions(), 0);
        }
    });
}

/// The simultaneous loss of two engines must not end the stream while other engines cover the model.
#[test]
fn continues_when_two_stages_are_killed() {
    smol::block_on(async {
        let fleet = Fleet::start(2, TIMEOUT).await;
        let (receiver, _task) = fleet.spawn("r", PROMPT);
        let tokens = fleet::read(&receiver, 3).await;
        let killed = vec![fleet.kill(0, fleet.busy(0)), fleet.kill(2, fleet.busy(2))];
        fleet::check_answer(&receiver, tokens, PROMPT).await;
        fleet.check_executions(killed);
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// A step on an engine that stops answering must be abandoned, and the generation must move to another engine.
#[test]
fn continues_when_a_stage_freezes() {
    smol::block_on(async {
        let fleet = Fleet::start(2, SHORT_TIMEOUT).await;
        let (receiver, _task) = fleet.spawn("r", PROMPT);
        let tokens = fleet::read(&receiver, 3).await;
        let busy = fleet.busy(1);
        fleet.fault(1, busy, |faults| faults.freeze = true);
        fleet::check_answer(&receiver, tokens, PROMPT).await;
        assert_eq!(fleet.count("agatemill_retries", "stage_frozen"), 1);
        fleet.check_executions(Vec::new());
        fleet.fault(1, busy, |faults| faults.freeze = false);
        fleet.check_cancelled().await;
    });
}

/// A step whose reply is lost has run. Retried in the same session, it would run twice.
#[test]
fn rebuilds_when_an_answer_is_lost() {
    smol::block_on(async {
        for stage in 0..3 {
            let fleet = with_fault(&[stage], |faults| faults.lose = 1).await;
            assert_eq!(fleet.count("agatemill_retries", "stage_lost"), 1);
        }
    });
}

/// A late reply must not be matched to another step.
#[test]
fn rebuilds_when_an_answer_is_late() {
    smol::block_on(async {
        let late = |faults: &mut Faults| (faults.late, faults.late_ms) = (1, 4_000);
        let fleet = with_fault_in(SHORT_TIMEOUT, &[1], late).await;
        assert_eq!(fleet.count("agatemill_retries", "stage_timeout"), 1);
    });
}

/// Replies to other steps must be dropped and counted, on every stage.
#[test]
fn drops_crossed_and_repeated_answers() {
    smol::block_on(async {
        for stage in 0..3 {
            let fleet = with_fault(&[stage], |faults| faults.cross = 1).await;
            assert_eq!(fleet.count("agatemill_dropped_answers", "session"), 1);
            let fleet = with_fault(&[stage], |faults| faults.repeat = 1).await;
            assert_eq!(fleet.count("agatemill_dropped_answers", "position"), 1);
            let fleet = with_fault(&[stage], |faults| faults.shift = 1).await;
            assert_eq!(fleet.count("agatemill_dropped_answers", "position"), 1);
        }
    });
}

/// A truncated reply must not be used.
#[test]
fn rebuilds_when_an_answer_is_cut() {
    smol::block_on(async {
        with_fault(&[0, 2], |faults| faults.cut = 1).await;
    });
}

/// After a refusal that guarantees "not run", the generation moves to another engine without reporting a failure.
#[test]
fn moves_when_an_engine_is_overloaded() {
    smol::block_on(async {
        let fleet = with_fault(&[1], |faults| {
            (faults.refuse, faults.code) = (1, Code::Overloaded);
        })
        .await;
        assert_eq!(fleet.count("agatemill_retries", "overloaded"), 1);
    });
}

/// A refusal must not report "not run" after a step has run.
#[test]
fn reports_unknown_when_no_chain_is_left() {
    smol::block_on(async {
        let fleet = Fleet::start(1, TIMEOUT).await;
        let (receiver, task) = fleet.spawn("r", PROMPT);
        fleet::read(&receiver, 3).await;
        fleet.kill(1, 0);
        let refusal = fleet::refusal(&receiver).await;
        assert_eq!(
            (refusal.reason, refusal.outcome),
            (Reason::NoChain, Outcome::Unknown)
        );
        assert_eq!(task.await, Outcome::Unknown);
        fleet.check_cancelled().await;
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// A refusal must report "not run" if no connection could be opened. The engine is killed before the client connects,
/// because a step on an idle connection that breaks may have run.
#[test]
fn reports_not_run_when_nothing_was_sent() {
    smol::block_on(async {
        let fleet = Fleet::start(1, TIMEOUT).await;
        fleet.kill(0, 0);
        let (receiver, task) = fleet.spawn("r", PROMPT);
        let refusal = fleet::refusal(&receiver).await;
        assert_eq!(
            (refusal.reason, refusal.outcome),
            (Reason::NoChain, Outcome::NotRun)
        );
        assert_eq!(task.await, Outcome::NotRun);
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// A generation must stop when its caller leaves, and its sessions must not leak on the engines.
#[test]
fn cancels_when_the_caller_leaves() {
    smol::block_on(async {
        let fleet = Fleet::start(1, TIMEOUT).await;
        let (receiver, task) = fleet.spawn("r", PROMPT);
        fleet::read(&receiver, 3).await;
        fleet.fault(1, 0, |faults| faults.hang = 1);
        drop(receiver);
        assert_eq!(task.await, Outcome::Unknown);
        fleet.check_cancelled().await;
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// A deadline that passes during a step must end the request and not count as an engine failure.
#[test]
fn ends_at_the_deadline() {
    smol::block_on(async {
        let fleet = Fleet::start(1, Duration::from_secs(5)).await;
        fleet.fault(1, 0, |faults| faults.hang = 1);
        let mut request = fleet::request("r", PROMPT);
        request.deadline = agatemill_runtime::now() + Duration::from_millis(200);
        let (receiver, _task) = fleet.spawn_request(request, 1);
        let refusal = fleet::refusal(&receiver).await;
        assert_eq!(
            (refusal.reason, refusal.outcome),
            (Reason::DeadlineExceeded, Outcome::Unknown)
        );
        assert_eq!(fleet.count("agatemill_retries", "stage_timeout"), 0);
    });
}

/// Concurrent streams must not receive each other's tokens while engines die.
#[test]
fn keeps_hundreds_of_streams_apart_while_engines_die() {
    const STREAMS: usize = 300;
    smol::block_on(async {
        let fleet = Fleet::start(3, Duration::from_secs(2)).await;
        let prompt = |index: usize| format!("claim {index} of {}", index * 7 + 1);
        let streams: Vec<_> = (0..STREAMS)
            .map(|index| fleet.spawn(&format!("r{index}"), &prompt(index)))
            .collect();
        let checks: Vec<_> = streams
            .iter()
            .enumerate()
            .map(|(index, (receiver, _))| {
                let (receiver, prompt) = (receiver.clone(), prompt(index));
                agatemill_runtime::spawn(async move {
                    fleet::check_answer(&receiver, Vec::new(), &prompt).await;
                })
            })
            .collect();
        let mut killed = Vec::new();
        for (stage, replica) in [(0, 0), (1, 2), (2, 1), (1, 0)] {
            agatemill_runtime::sleep(Duration::from_millis(60)).await;
            killed.push(fleet.kill(stage, replica));
        }
        for check in checks {
            check.await;
        }
        for (_, task) in streams {
            assert_eq!(task.await, Outcome::Complete);
        }
        assert!(fleet.count("agatemill_retries", "stage_lost") > 0);
        fleet.check_executions(killed);
        fleet.check_cancelled().await;
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// The retry budget must delay the streams of a frozen engine but not end them while other engines answer.
#[test]
fn keeps_hundreds_of_streams_when_an_engine_freezes() {
    const STREAMS: usize = 300;
    smol::block_on(async {
        let fleet = Fleet::start(3, Duration::from_secs(2)).await;
        let prompt = |index: usize| format!("name {index} of {}", index * 7 + 1);
        let streams: Vec<_> = (0..STREAMS)
            .map(|index| fleet.spawn(&format!("r{index}"), &prompt(index)))
            .collect();
        let checks: Vec<_> = streams
            .iter()
            .enumerate()
            .map(|(index, (receiver, _))| {
                let (receiver, prompt) = (receiver.clone(), prompt(index));
                agatemill_runtime::spawn(async move {
                    fleet::check_answer(&receiver, Vec::new(), &prompt).await;
                })
            })
            .collect();
        agatemill_runtime::sleep(Duration::from_millis(60)).await;
        fleet.fault(1, 1, |faults| faults.freeze = true);
        for check in checks {
            check.await;
        }
        assert!(fleet.count("agatemill_retries", "stage_frozen") > 0);
        fleet.check_executions(Vec::new());
        assert_eq!(fleet.open_sessions(), 0);
    });
}

/// The cache of a draining engine is imported: no position is recomputed or skipped.
#[test]
fn imports_the_cache_of_a_draining_engine() {
    smol::block_on(async {
        for stage in 0..3 {
            let fleet = Fleet::start(2, TIMEOUT).await;
            let (receiver, task) = fleet.spawn("r", PROMPT);
            let tokens = fleet::read(&receiver, 3).await;
            let busy = fleet.busy(stage);
            fleet.fault(stage, busy, |faults| {
                (faults.refuse, faults.code) = (1, Code::Draining);
            });
            fleet::check_answer(&receiver, tokens, PROMPT).await;
            assert_eq!(task.await, Outcome::Complete);
            assert_eq!(fleet.count("agatemill_retries", "draining"), 1);
            fleet.check_continued_executions();
            fleet.check_cancelled().await;
            assert_eq!(fleet.open_sessions(), 0);
        }
    });
}

/// A failed import must not end the stream, and a partially imported session must not be used.
#[test]
fn recomputes_when_the_import_is_refused() {
    smol::block_on(async {
        let fleet = Fleet::start(2, TIMEOUT).await;
        let (receiver, task) = fleet.spawn("r", PROMPT);
        let tokens = fleet::read(&receiver, 3).await;
        let busy = fleet.busy(1);
        fleet.fault(1, busy, |faults| {
            (faults.refuse, faults.code) = (1, Code::Draining);
        });
        fleet.fault(1, 1 - busy, |faults| faults.drain = true);
        fleet::check_answer(&receiver, tokens, PROMPT).await;
        assert_eq!(task.await, Outcome::Complete);
        fleet.check_executions(Vec::new());
        fleet.check_cancelled().await;
        assert_eq!(fleet.open_sessions(), 0);
    });
}
