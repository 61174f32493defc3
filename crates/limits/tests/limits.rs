//! Token bucket, retry budget, circuit breaker, shares and fair queue.

use core::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::proptest;

use agatemill_core::Priority;
use agatemill_core::id;
use agatemill_core::quantity::Rate;
use agatemill_limits::Breaker;
use agatemill_limits::Bucket;
use agatemill_limits::Budget;
use agatemill_limits::Queue;
use agatemill_limits::breaker;
use agatemill_limits::queue::Decision;
use agatemill_limits::queue::Request;
use agatemill_limits::queue::Ticket;
use agatemill_limits::share;

const MS: Duration = Duration::from_millis(1);

fn request(organisation: &str, weight: u32, priority: Priority) -> Request {
    Request {
        organisation: organisation.parse::<id::Organisation>().unwrap(),
        weight,
        urgency: priority.into(),
        concurrency: 100,
        deadline: Duration::from_hours(1),
    }
}

/// Guards against a bucket that grants more than its burst after a long idle time.
#[test]
fn bucket_holds_one_second_of_burst() {
    let mut bucket = Bucket::new("5/s".parse().unwrap(), Duration::ZERO);
    let hour = Duration::from_hours(1);
    let taken = (0..20).filter(|_| bucket.take(hour).is_ok()).count();
    assert_eq!(taken, 5);
    let wait = bucket.take(hour).unwrap_err();
    assert!(wait <= 200 * MS, "{wait:?}");
    assert!(bucket.take(hour + wait + MS).is_ok());
}

/// Guards against a rate of 0 that lets requests pass or divides by zero.
#[test]
fn bucket_with_rate_zero_returns_the_maximum_wait() {
    let mut bucket = Bucket::new(Rate::new(0.0).unwrap(), Duration::ZERO);
    assert!(bucket.take(MS).is_ok());
    assert_eq!(bucket.take(MS), Err(Duration::MAX));
}

/// Guards against retries that multiply the load when all requests fail.
#[test]
fn budget_bounds_retries_to_a_share() {
    let mut budget = Budget::new(100);
    let before = (0..1000).filter(|_| budget.take()).count();
    (0..100).for_each(|_| budget.record_success());
    let after = (0..1000).filter(|_| budget.take()).count();
    assert_eq!((before, after), (10, 10));
}

/// Guards against a breaker that lets every request pass to a server that is still dead.
#[test]
fn breaker_lets_one_trial_pass() {
    let mut breaker = Breaker::new(breaker::Settings::default());
    let opened: Vec<bool> = (0..3)
        .map(|_| breaker.record_failure(Duration::ZERO))
        .collect();
    assert_eq!(opened, [false, false, true]);
    assert!(!breaker.allows(999 * MS));
    assert!(breaker.allows(1000 * MS));
    breaker.begin(1000 * MS);
    assert!(!breaker.allows(1001 * MS));
    assert!(breaker.record_failure(1100 * MS));
    assert!(
        !breaker.allows(3099 * MS),
        "the second open time is twice as long"
    );
    breaker.begin(3100 * MS);
    breaker.record_success();
    assert!(breaker.allows(3101 * MS));
}

/// Guards against shares that add up to less than the limit or leave a host without any.
#[test]
fn shares_cover_the_limit() {
    assert_eq!(share::concurrency(10, 8), 2);
    assert_eq!(share::concurrency(1, 8), 1);
    assert_eq!(
        share::rate("8/s".parse().unwrap(), 8),
        "1/s".parse().unwrap()
    );
}

/// Admits up to `count` requests in turn on a queue with one slot; returns the organisation of each.
fn serve(
    queue: &mut Queue,
    first: Ticket,
    owners: &[(Ticket, &'static str)],
    count: usize,
) -> Vec<&'static str> {
    let mut served = Vec::new();
    let mut holder = first;
    for step in 0..count {
        let now = MS * u32::try_from(step).unwrap();
        let Some(next) = queue.release(holder, now) else {
            break;
        };
        served.push(owners.iter().find(|(ticket, _)| *ticket == next).unwrap().1);
        holder = next;
    }
    served
}

/// Enters requests that wait, as `(organisation, weight, count)`; returns the ticket and organisation of each.
fn fill(queue: &mut Queue, plan: &[(&'static str, u32, usize)]) -> Vec<(Ticket, &'static str)> {
    let mut owners = Vec::new();
    for (organisation, weight, count) in plan {
        for _ in 0..*count {
            let decision = queue.enter(
                request(organisation, *weight, Priority::Normal),
                Duration::ZERO,
            );
            assert_matches!(decision, Decision::Waiting(ticket) => owners.push((ticket, *organisation)));
        }
    }
    owners
}

/// Guards against the backlog of a large organisation that delays a small one.
#[test]
fn queue_serves_organisations_by_weight() {
    let mut queue = Queue::new(1, 1000);
    let first = queue.enter(request("other", 1, Priority::Normal), Duration::ZERO);
    let Decision::Admitted(first) = first else {
        panic!("{first:?}")
    };
    let owners = fill(&mut queue, &[("large", 1, 60), ("small", 2, 60)]);
    let served = serve(&mut queue, first, &owners, 60);
    let small = served
        .iter()
        .filter(|organisation| **organisation == "small")
        .count();
    assert!(
        (38..=42).contains(&small),
        "{small} of 60 for twice the weight"
    );
}

/// Guards against interactive requests that queue behind batch requests.
#[test]
fn queue_serves_priorities_first() {
    let mut queue = Queue::new(1, 10);
    let first = queue.enter(request("a", 1, Priority::Normal), Duration::ZERO);
    let Decision::Admitted(first) = first else {
        panic!("{first:?}")
    };
    queue.enter(request("b", 1, Priority::Batch), Duration::ZERO);
    let interactive = queue.enter(request("c", 1, Priority::Interactive), Duration::ZERO);
    let Decision::Waiting(interactive) = interactive else {
        panic!("{interactive:?}")
    };
    assert_eq!(queue.release(first, MS), Some(interactive));
}

/// Guards against requests that wait for a slot that becomes free only after their deadline.
#[test]
fn queue_rejects_requests_that_would_miss_their_deadline() {
    let mut queue = Queue::new(1, 10);
    let first = queue.enter(request("a", 1, Priority::Normal), Duration::ZERO);
    let Decision::Admitted(first) = first else {
        panic!("{first:?}")
    };
    queue.release(first, Duration::from_secs(10));
    queue.enter(request("a", 1, Priority::Normal), Duration::from_secs(10));
    let mut late = request("a", 1, Priority::Normal);
    late.deadline = Duration::from_secs(15);
    let decision = queue.enter(late, Duration::from_secs(10));
    assert_eq!(
        decision,
        Decision::Overloaded {
            wait: Duration::from_secs(10)
        }
    );
}

/// Guards against an organisation that takes every slot, and against one at its limit that blocks others.
#[test]
fn queue_limits_the_concurrency_of_organisations() {
    let mut queue = Queue::new(4, 10);
    let mut narrow = request("narrow", 1, Priority::Interactive);
    narrow.concurrency = 1;
    assert_matches!(
        queue.enter(narrow.clone(), Duration::ZERO),
        Decision::Admitted(_)
    );
    assert_matches!(
        queue.enter(narrow.clone(), Duration::ZERO),
        Decision::Waiting(_)
    );
    assert_matches!(
        queue.enter(narrow, Duration::ZERO),
        Decision::ConcurrencyLimited
    );
    let wide = request("wide", 1, Priority::Batch);
    assert_matches!(queue.enter(wide, Duration::ZERO), Decision::Admitted(_));
}

proptest! {
    /// Guards against lost or duplicated slots under any order of enter, release and cancel.
    #[test]
    fn queue_never_exceeds_its_slots(steps in proptest::collection::vec((0_u8..4, 0_u8..5), 1..200)) {
        let mut queue = Queue::new(3, 20);
        let mut admitted: Vec<Ticket> = Vec::new();
        let mut waiting: Vec<Ticket> = Vec::new();
        for (index, (action, organisation)) in steps.into_iter().enumerate() {
            let now = MS * u32::try_from(index).unwrap();
            let name = ["a", "b", "c", "d", "e"][usize::from(organisation)];
            let mut released = None;
            match action {
                0 | 1 => match queue.enter(request(name, 1, Priority::Normal), now) {
                    Decision::Admitted(ticket) => admitted.push(ticket),
                    Decision::Waiting(ticket) => waiting.push(ticket),
                    Decision::ConcurrencyLimited | Decision::Overloaded { .. } => {}
                },
                2 => released = admitted.pop().and_then(|ticket| queue.release(ticket, now)),
                _ => {
                    if let Some(ticket) = waiting.pop() {
                        assert!(queue.cancel(ticket));
                    }
                }
            }
            if let Some(ticket) = released {
                waiting.retain(|other| *other != ticket);
                admitted.push(ticket);
            }
            assert!(admitted.len() <= 3);
            assert_eq!(queue.held(), admitted.len());
            assert_eq!(queue.waiting(), waiting.len());
            assert!(waiting.is_empty() || admitted.len() == 3, "a slot is free while requests wait");
        }
    }
}
