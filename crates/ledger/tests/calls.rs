//! Tests of claims against the fake platform, with real concurrency.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;
use std::time::SystemTime;

use assert_matches::assert_matches;

use agatemill_core::Digest;
use agatemill_core::Outcome;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::quantity::Size;
use agatemill_fake::platform::Platform;
use agatemill_fake::platform::faults::Change;
use agatemill_ledger::Answer;
use agatemill_ledger::Call;
use agatemill_ledger::Ledger;
use agatemill_ledger::Ticket;
use agatemill_ledger::ledger::Claim;
use agatemill_runtime::now;

const TIMEOUT: Duration = Duration::from_millis(300);
const LIMIT: Duration = Duration::from_secs(10);
const CALLS: &str = "/agatemill/trial/calls/";

fn with_ledgers<T: Future<Output = ()>>(test: impl FnOnce(Platform, Ledger, Ledger) -> T) {
    smol::block_on(async {
        let platform = Platform::listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let ledger = |host: &str| {
            let client = platform.client(TIMEOUT);
            Ledger::new(client, "trial".parse().unwrap(), host.parse().unwrap())
        };
        let (a, b) = (ledger("a"), ledger("b"));
        test(platform, a, b).await;
    });
}

fn call(key: &str, body: &[u8]) -> Call {
    Call {
        half: "east".parse().unwrap(),
        organisation: "court".parse().unwrap(),
        key: key.into(),
        body: Digest::of(body),
        deadline: now() + LIMIT,
        retention: Duration::from_hours(1),
        answer_limit: Size(2 << 20),
    }
}

fn answer(size: usize) -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: vec![b'x'; size],
    }
}

fn won(claim: Result<Claim, Refusal>) -> Ticket {
    assert_matches!(claim, Ok(Claim::Won(ticket)) => *ticket)
}

fn refused(claim: Result<Claim, Refusal>, reason: Reason, outcome: Outcome) {
    let refusal = assert_matches!(claim, Err(refusal) => refusal);
    assert_eq!((refusal.reason, refusal.outcome), (reason, outcome));
}

async fn settled(ledger: &Ledger) {
    assert_eq!(ledger.clone().close(LIMIT).await, 0);
}

/// Guards against a call that is sent twice because it is submitted to two hosts concurrently.
#[test]
fn eight_tasks_have_one_winner() {
    with_ledgers(async |_platform, a, b| {
        for round in 0..20 {
            let sent = Arc::new(AtomicUsize::new(0));
            let tasks: Vec<_> = (0..8)
                .map(|index| {
                    let ledger = if index % 2 == 0 { a.clone() } else { b.clone() };
                    let call = call(&format!("key-{round}"), b"pay");
                    let sent = Arc::clone(&sent);
                    agatemill_runtime::spawn(async move {
                        match ledger.claim(&call).await {
                            Ok(Claim::Won(mut ticket)) => {
                                ticket.may_send(now()).unwrap();
                                sent.fetch_add(1, Ordering::Relaxed);
                                ticket.finish(answer(10)).await;
                            }
                            Ok(Claim::Done(found)) => assert_eq!(found, answer(10)),
                            other => refused(other, Reason::OutcomeUnknown, Outcome::Unknown),
                        }
                    })
                })
                .collect();
            for task in tasks {
                task.await;
            }
            assert_eq!(sent.load(Ordering::Relaxed), 1);
        }
    });
}

/// Guards against repeats that run the call again, lose its answer or receive another call's answer.
#[test]
fn a_repeat_finds_the_record() {
    with_ledgers(async |_platform, a, b| {
        let mut ticket = won(a.claim(&call("k", b"pay")).await);
        ticket.may_send(now()).unwrap();
        let begun = b.claim(&call("k", b"pay")).await;
        refused(begun, Reason::OutcomeUnknown, Outcome::Unknown);
        let other = b.claim(&call("k", b"other")).await;
        refused(other, Reason::KeyReused, Outcome::NotRun);
        ticket.finish(answer(5)).await;
        let done = b.claim(&call("k", b"pay")).await;
        assert_matches!(done, Ok(Claim::Done(found)) if found == answer(5));
        let other = b.claim(&call("k", b"other")).await;
        refused(other, Reason::KeyReused, Outcome::NotRun);
    });
}

/// Guards against records that fill the platform because the document's limit on stored answers is ignored.
#[test]
fn an_answer_over_the_limit_of_the_document_is_not_kept() {
    with_ledgers(async |_platform, a, b| {
        let limited = |key: &str| Call {
            answer_limit: Size(100),
            ..call(key, b"pay")
        };
        for (key, size) in [("small", 100), ("large", 101)] {
            let mut ticket = won(a.claim(&limited(key)).await);
            ticket.may_send(now()).unwrap();
            ticket.finish(answer(size)).await;
        }
        let small = b.claim(&limited("small")).await;
        assert_matches!(small, Ok(Claim::Done(found)) if found == answer(100));
        let large = b.claim(&limited("large")).await;
        refused(large, Reason::AnswerNotKept, Outcome::Complete);
    });
}

/// Guards against large answers that fail to be recorded and leave the record `begun`.
#[test]
fn a_large_answer_is_not_kept() {
    with_ledgers(async |_platform, a, b| {
        let mut ticket = won(a.claim(&call("k", b"pay")).await);
        ticket.may_send(now()).unwrap();
        ticket.finish(answer(2_000_000)).await;
        let done = b.claim(&call("k", b"pay")).await;
        refused(done, Reason::AnswerNotKept, Outcome::Complete);
    });
}

/// Guards against calls that cannot be claimed again although they did not run, including calls whose sending task was
/// cancelled.
#[test]
fn a_call_that_did_not_run_can_be_claimed_again() {
    with_ledgers(async |_platform, a, b| {
        won(a.claim(&call("k", b"pay")).await).not_run().await;
        drop(won(b.claim(&call("k", b"pay")).await));
        settled(&b).await;
        won(a.claim(&call("k", b"pay")).await).not_run().await;
    });
}

/// Guards against a lost response to a write that is treated as a refusal: the claim is stored and must be used.
#[test]
fn a_lost_response_is_read_back() {
    with_ledgers(async |platform, a, _b| {
        won(a.claim(&call("first", b"pay")).await).not_run().await;
        platform.update_faults(&Change {
            lose_writes: Some(1),
            ..Default::default()
        });
        let mut ticket = won(a.claim(&call("k", b"pay")).await);
        ticket.may_send(now()).unwrap();
    });
}

/// Guards against a call that is sent after "not run" was reported, and against a record that stays `begun` after the
/// platform has recovered.
#[test]
fn an_unresolved_claim_is_not_run_and_cleaned_up() {
    with_ledgers(async |platform, a, b| {
        won(a.claim(&call("first", b"pay")).await).not_run().await;
        platform.update_faults(&Change {
            lose_prefix: Some(CALLS.to_owned()),
            ..Default::default()
        });
        let lost = a.claim(&call("k", b"pay")).await;
        refused(lost, Reason::PlatformUnavailable, Outcome::NotRun);
        platform.update_faults(&Change {
            lose_prefix: Some(String::new()),
            ..Default::default()
        });
        settled(&a).await;
        won(b.claim(&call("k", b"pay")).await).not_run().await;
    });
}

/// Guards against calls that are sent without a record during an outage, and against claims that block until it
/// ends.
#[test]
fn an_outage_before_the_claim_is_not_run() {
    with_ledgers(async |platform, a, _b| {
        for faults in [(true, false), (false, true)] {
            platform.update_faults(&Change {
                down: Some(faults.0),
                refuse: Some(faults.1),
                ..Default::default()
            });
            let claim = a.claim(&call("k", b"pay")).await;
            refused(claim, Reason::PlatformUnavailable, Outcome::NotRun);
        }
    });
}

/// Guards against an outage after the send that blocks the caller's response or loses the record.
#[test]
fn an_outage_during_the_call_delays_only_the_record() {
    with_ledgers(async |platform, a, b| {
        let mut ticket = won(a.claim(&call("k", b"pay")).await);
        ticket.may_send(now()).unwrap();
        platform.update_faults(&Change {
            down: Some(true),
            ..Default::default()
        });
        let start = now();
        ticket.finish(answer(5)).await;
        assert!(now() < start + 3 * TIMEOUT);
        assert_eq!(a.clone().close(TIMEOUT).await, 1);
        platform.update_faults(&Change {
            down: Some(false),
            ..Default::default()
        });
        settled(&a).await;
        let done = b.claim(&call("k", b"pay")).await;
        assert_matches!(done, Ok(Claim::Done(found)) if found == answer(5));
    });
}

/// Guards against a lost lease that removes the record of a call that ran.
#[test]
fn a_call_in_progress_survives_the_loss_of_its_lease() {
    with_ledgers(async |platform, a, b| {
        let mut ticket = won(a.claim(&call("k", b"pay")).await);
        ticket.may_send(now()).unwrap();
        platform.update_faults(&Change {
            drop_leases: true,
            ..Default::default()
        });
        ticket.finish(answer(5)).await;
        settled(&a).await;
        let done = b.claim(&call("k", b"pay")).await;
        assert_matches!(done, Ok(Claim::Done(_)));
    });
}

/// Guards against a host that sends a call after its deadline, because it was paused between the claim and the send.
#[test]
fn a_call_is_not_sent_after_its_deadline() {
    with_ledgers(async |_platform, a, b| {
        let late = call("k", b"pay");
        let mut ticket = won(a.claim(&late).await);
        let refusal = ticket.may_send(late.deadline).unwrap_err();
        assert_eq!(refusal.reason, Reason::DeadlineExceeded);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        // The refusal is final, whatever time a later check gives.
        assert_matches!(ticket.may_send(now()), Err(_));
        ticket.not_run().await;
        won(b.claim(&call("k", b"pay")).await).not_run().await;
        let past = Call {
            deadline: now(),
            ..call("other", b"pay")
        };
        let claim = a.claim(&past).await;
        refused(claim, Reason::DeadlineExceeded, Outcome::NotRun);
    });
}

/// Guards against a call that runs again because its record has expired.
#[test]
fn an_old_version_7_key_is_refused() {
    with_ledgers(async |_platform, a, _b| {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let key = |age: Duration| {
            let millis = wall.clone().unwrap().checked_sub(age).unwrap().as_millis();
            let digits = format!("{millis:012x}");
            format!("{}-{}-7abc-8def-0123456789ab", &digits[..8], &digits[8..])
        };
        let old = a.claim(&call(&key(Duration::from_hours(2)), b"pay")).await;
        refused(old, Reason::KeyExpired, Outcome::NotRun);
        let young = call(&key(Duration::from_mins(30)), b"pay");
        won(a.claim(&young).await).not_run().await;
    });
}

/// Guards against one lease per call and against more than two writes per call: the platform handles only several
/// hundred writes per second in total.
#[test]
fn a_call_costs_two_writes_and_shares_a_lease() {
    with_ledgers(async |platform, a, _b| {
        for index in 0..10 {
            let mut ticket = won(a.claim(&call(&format!("k{index}"), b"pay")).await);
            ticket.may_send(now()).unwrap();
            ticket.finish(answer(5)).await;
        }
        let counts = platform.counts();
        assert_eq!((counts.writes.total, counts.leases.total), (20, 1));
        assert_eq!(counts.reads.total, 0);
    });
}
