//! Waiting for a slot of the fair queue.

use core::time::Duration;
use std::sync::Arc;

use smol::block_on;

use agatemill_core::Outcome;
use agatemill_core::Priority;
use agatemill_core::Reason;
use agatemill_entry::gate::Gate;
use agatemill_limits::queue::Request;

fn request(wait: Duration) -> Request {
    Request {
        organisation: "o".parse().unwrap(),
        weight: 1,
        urgency: Priority::Normal.into(),
        concurrency: 10,
        deadline: agatemill_runtime::now() + wait,
    }
}

const LONG: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(50);

/// Guards against a released slot that does not pass to a waiting request, and against a waiting request that
/// never wakes.
#[test]
fn a_released_slot_passes_to_the_waiting_request() {
    let gate = Arc::new(Gate::new(1, 10));
    let held = block_on(Arc::clone(&gate).enter(request(LONG))).unwrap();
    let waiting = agatemill_runtime::spawn(Arc::clone(&gate).enter(request(LONG)));
    std::thread::sleep(SHORT);
    assert!(!waiting.is_finished());
    drop(held);
    let next = block_on(agatemill_runtime::timeout(LONG, waiting)).unwrap();
    drop(next.unwrap());
    block_on(gate.enter(request(LONG))).unwrap();
}

/// Guards against a queue position that stays occupied after its caller disconnects or its deadline passes.
#[test]
fn a_cancelled_request_releases_its_queue_position() {
    let gate = Arc::new(Gate::new(1, 1));
    let held = block_on(Arc::clone(&gate).enter(request(LONG))).unwrap();
    let late = block_on(Arc::clone(&gate).enter(request(SHORT))).unwrap_err();
    assert_eq!(late.reason, Reason::DeadlineExceeded);
    assert_eq!(late.outcome, Outcome::NotRun);
    let cancelled = agatemill_runtime::spawn(Arc::clone(&gate).enter(request(LONG)));
    std::thread::sleep(SHORT);
    let full = block_on(Arc::clone(&gate).enter(request(LONG))).unwrap_err();
    assert_eq!(full.reason, Reason::Overloaded);
    block_on(cancelled.cancel());
    let waiting = agatemill_runtime::spawn(Arc::clone(&gate).enter(request(LONG)));
    std::thread::sleep(SHORT);
    drop(held);
    drop(block_on(waiting).unwrap());
}

/// Guards against slots that leak when requests are cancelled at the moment of their admission.
#[test]
fn no_slot_leaks_when_cancellation_races_admission() {
    let gate = Arc::new(Gate::new(2, 100));
    let tasks: Vec<_> = (0..100_u64)
        .map(|number| {
            let gate = Arc::clone(&gate);
            agatemill_runtime::spawn(async move {
                let wait = Duration::from_millis(number % 7);
                let permit = agatemill_runtime::timeout(wait, gate.enter(request(LONG))).await;
                agatemill_runtime::sleep(Duration::from_millis(1)).await;
                drop(permit);
            })
        })
        .collect();
    for task in tasks {
        block_on(task);
    }
    let first = block_on(Arc::clone(&gate).enter(request(LONG))).unwrap();
    let second = block_on(gate.enter(request(LONG))).unwrap();
    drop((first, second));
}
