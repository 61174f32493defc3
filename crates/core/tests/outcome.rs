//! Tests of the only function that decides an outcome.

use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;

/// What the rules of the design page say, written the other way round: by outcome.
fn expected(phase: Phase, cause: Cause) -> Outcome {
    let nothing_left = phase < Phase::Sent;
    let server_denies = phase == Phase::Sent && cause == Cause::Rejected;
    let whole = phase == Phase::Answered && cause == Cause::Finished;
    match (whole, nothing_left || server_denies) {
        (true, _) => Outcome::Complete,
        (false, true) => Outcome::NotRun,
        (false, false) => Outcome::Unknown,
    }
}

/// Guards against a "not run" for a request that a backend server may have run, over every pair.
#[test]
fn every_pair_of_phase_and_cause() {
    for phase in Phase::ALL {
        for cause in Cause::ALL {
            let found = Outcome::resolve(phase, cause);
            assert_eq!(found, expected(phase, cause), "{phase}, {cause}");
        }
    }
}

/// Guards against an outcome that gets more certain as a request goes on: once "unknown" for a cause that
/// says nothing about the server, it stays so.
#[test]
fn not_run_is_not_regained_after_the_send() {
    for cause in Cause::ALL {
        if cause == Cause::Rejected {
            continue;
        }
        for phase in [Phase::Sent, Phase::Answered] {
            assert_ne!(
                Outcome::resolve(phase, cause),
                Outcome::NotRun,
                "{phase}, {cause}"
            );
        }
    }
}
