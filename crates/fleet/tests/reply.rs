//! What the responses of backend servers say about their requests.

use agatemill_fleet::Reply;
use agatemill_fleet::reply::Attempt;
use agatemill_fleet::reply::Flaw;
use agatemill_fleet::reply::Framing;
use agatemill_fleet::reply::Meaning;
use agatemill_fleet::reply::Verdict;

/// A sealed success of the attempt.
const SUCCESS: Reply = Reply {
    attempt: Attempt::Same,
    states_not_run: false,
    meaning: Meaning::Success,
    is_sealed: true,
};

/// Guards against a caller that repeats a request which has run, because the status of the response promises that it has not.
#[test]
fn a_promise_that_the_server_does_not_confirm_is_not_passed_on() {
    let reply = Reply {
        meaning: Meaning::NotRun,
        ..SUCCESS
    };
    assert_eq!(reply.verdict(), Verdict::Unusable(Flaw::Unconfirmed));
    let unsealed = Reply {
        is_sealed: false,
        ..reply
    };
    assert_eq!(unsealed.verdict(), Verdict::Unusable(Flaw::Unconfirmed));
    let stated = Reply {
        states_not_run: true,
        ..reply
    };
    assert_eq!(stated.verdict(), Verdict::NotRun);
}

/// Guards against a response of another attempt that decides about this one.
#[test]
fn a_response_of_another_attempt_says_nothing() {
    let other = Reply {
        attempt: Attempt::Other,
        ..SUCCESS
    };
    let stated = Reply {
        states_not_run: true,
        meaning: Meaning::NotRun,
        ..other
    };
    for reply in [other, stated] {
        assert_eq!(reply.verdict(), Verdict::Unusable(Flaw::OtherAttempt));
    }
}

/// Guards against failures of servers that are replaced, and rejections without an id that are not recognised.
#[test]
fn complete_answers_are_passed_on() {
    assert_eq!(SUCCESS.verdict(), Verdict::Answer);
    let failure = Reply {
        meaning: Meaning::Failure,
        ..SUCCESS
    };
    assert_eq!(failure.verdict(), Verdict::Answer);
    let unsealed = Reply {
        is_sealed: false,
        ..SUCCESS
    };
    assert_eq!(unsealed.verdict(), Verdict::Unusable(Flaw::Unsealed));
    let rejection = Reply {
        attempt: Attempt::Unnamed,
        states_not_run: true,
        meaning: Meaning::Failure,
        ..unsealed
    };
    assert_eq!(rejection.verdict(), Verdict::NotRun);
}

/// Guards against a response that looks whole because the end of its server ended its connection, and against a whole one that
/// is dropped because its server exits as planned.
#[test]
fn a_response_that_ends_with_its_connection_needs_a_running_server() {
    assert!(Framing::Connection.needs_running_server(true));
    assert!(!Framing::Connection.needs_running_server(false));
    assert!(!Framing::Delimited.needs_running_server(true));
}
