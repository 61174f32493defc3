//! Tests of [`Outcome::resolve`], the only function that decides an outcome.

use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;

/// Independent model of the rules of the design page, stated by outcome instead of by phase and cause.
fn expected(phase: Phase, cause: Cause) -> Outcome {
    let is_unsent = phase < Phase::Sent;
    let is_rejected = phase == Phase::Sent && cause == Cause::Rejected;
    let is_complete = phase == Phase::Answered && cause == Cause::Finished;
    match (is_complete, is_unsent || is_rejected) {
        (true, _) => Outcome::Complete,
        (false, true) => Outcome::NotRun,
        (false, false) => Outcome::Unknown,
    }
}

/// Guards against the outcome "not run" for a request that a backend server may have executed; checks every pair.
#[test]
fn every_pair_of_phase_and_cause() {
    for phase in Phase::ALL {
        for cause in Cause::ALL {
            let found = Outcome::resolve(phase, cause);
            assert_eq!(found, expected(phase, cause), "{phase}, {cause}");
        }
    }
}

/// Guards against the outcome "not run" after the request was sent: unless the server rejected the request,
/// nothing shows that the request was not executed.
#[test]
fn sent_requests_are_never_reported_as_not_run() {
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
