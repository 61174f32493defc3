//! The account of memory.

use core::net::IpAddr;
use core::net::Ipv4Addr;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use assert_matches::assert_matches;
use proptest::prelude::any;
use proptest::prelude::proptest;

use agatemill_core::quantity::Size;
use agatemill_limits::Account;
use agatemill_limits::account::Denial;
use agatemill_limits::account::MIN_AGE;
use agatemill_limits::account::Owner;
use agatemill_limits::account::Pace;
use agatemill_limits::account::Plan;
use agatemill_limits::account::SMALL_BYTES;
use agatemill_limits::account::Share;
use agatemill_limits::account::denial::Reason;
use agatemill_limits::account::pace;
use agatemill_limits::account::plan;

const MIB: usize = 1 << 20;

/// Largest legal body of the usual configuration.
const LARGEST: usize = 4 * MIB;

const PLAN: Plan = Plan {
    large: 16 * MIB,
    small: 40 * SMALL_BYTES,
    responses: 0,
    connections: 0,
};

const START: Duration = Duration::ZERO;

fn owner(number: u8) -> Vec<Owner> {
    vec![
        Owner::Address(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))),
        Owner::Organisation(format!("office-{number}").into()),
    ]
}

fn open(account: &Account, bytes: usize, caller: u8, now: Duration) -> Result<Share, Denial> {
    account.open(bytes, owner(caller), now, || ())
}

/// Opens a share, and returns it with the number of times that its body was ended.
fn open_watched(account: &Account, bytes: usize, caller: u8) -> (Share, Arc<AtomicUsize>) {
    let ended: Arc<AtomicUsize> = Arc::default();
    let count = Arc::clone(&ended);
    let on_end = move || {
        count.fetch_add(1, Ordering::Relaxed);
    };
    let share = account.open(bytes, owner(caller), START, on_end).unwrap();
    (share, ended)
}

/// Fills the large part with bodies of different callers.
fn fill(account: &Account) -> Vec<Share> {
    (0..4)
        .map(|caller| open(account, LARGEST, caller, START).unwrap())
        .collect()
}

/// Guards against bytes that stay taken after their body is gone, until nothing is left.
#[test]
fn a_dropped_share_returns_its_bytes() {
    let account = Account::new(PLAN);
    for _ in 0..100 {
        let shares = fill(&account);
        assert_eq!(account.held(), 16 * MIB);
        assert_matches!(open(&account, LARGEST, 9, START), Err(denial) if denial.reason == Reason::Full);
        drop(shares);
        assert_eq!(account.held(), 0);
    }
}

/// Guards against a task that panics and keeps its share.
#[test]
fn a_share_whose_owner_panics_returns_its_bytes() {
    let account = Account::new(PLAN);
    let task = AssertUnwindSafe(|| {
        let _share = open(&account, LARGEST, 1, START).unwrap();
        panic!("a failing task");
    });
    assert!(panic::catch_unwind(task).is_err());
    assert_eq!(account.held(), 0);
}

/// Guards against ordinary requests that are refused while large bodies fill the account.
#[test]
fn small_bodies_fit_beside_large_ones() {
    let account = Account::new(PLAN);
    let _large = fill(&account);
    let small: Vec<Share> = (0..40)
        .map(|_| open(&account, SMALL_BYTES, 1, START).unwrap())
        .collect();
    assert_matches!(open(&account, 800, 1, START), Err(_));
    drop(small);
    assert!(open(&account, 800, 1, START).is_ok());
}

/// Guards against a body without a stated length that grows in the part for small bodies.
#[test]
fn a_growing_body_leaves_the_part_for_small_ones() {
    let account = Account::new(PLAN);
    let growing = open(&account, SMALL_BYTES, 1, START).unwrap();
    growing.grow(MIB, START).unwrap();
    assert_eq!(account.held(), MIB);
    let small: Vec<Share> = (0..40)
        .map(|_| open(&account, SMALL_BYTES, 2, START).unwrap())
        .collect();
    let large: Vec<Share> = (0..3)
        .map(|caller| open(&account, 5 * MIB, caller + 2, START).unwrap())
        .collect();
    assert_matches!(growing.grow(2 * MIB, START), Err(denial) if denial.reason == Reason::Full);
    assert_eq!(account.held(), 16 * MIB + 40 * SMALL_BYTES);
    drop((small, large, growing));
    assert_eq!(account.held(), 0);
}

/// Guards against one caller, or one organisation with many addresses, that takes all memory.
#[test]
fn an_owner_leaves_the_last_part_to_others() {
    for is_same_address in [true, false] {
        let account = Account::new(PLAN);
        let owners = |number| {
            let [address, organisation] = owner(1).try_into().unwrap();
            let [other_address, other_organisation] = owner(number).try_into().unwrap();
            if is_same_address {
                vec![address, other_organisation]
            } else {
                vec![other_address, organisation]
            }
        };
        let take = |number| account.open(LARGEST, owners(number), START, || ());
        let shares: Vec<Share> = (1..=3).map(|number| take(number).unwrap()).collect();
        assert_matches!(take(4), Err(denial) if denial.reason == Reason::Owner);
        let other = open(&account, LARGEST, 9, START);
        assert!(other.is_ok());
        drop((shares, other));
        assert!(take(4).is_ok());
    }
}

/// Guards against a single request of the largest legal size that is refused by the smallest host, and against parts that
/// exceed its memory together.
#[test]
fn the_smallest_host_serves_a_single_largest_body() {
    let plan = Plan::from(plan::SMALLEST_MEMORY);
    let account = Account::new(plan);
    let share = open(&account, SMALL_BYTES, 1, START).unwrap();
    let mut bytes = SMALL_BYTES;
    while bytes < LARGEST {
        bytes *= 2;
        share.grow(bytes, START).unwrap();
    }
    let sum = plan.large + plan.small + plan.responses + plan.connections;
    assert!(sum < 145_000_000, "{sum}");
    // The lower bound of the setting.
    assert!(
        open(
            &Account::new(Plan::from(Size(64_000_000))),
            LARGEST,
            1,
            START
        )
        .is_ok()
    );
}

/// Guards against bodies that stop short of their end and keep others from being read.
#[test]
fn the_slowest_incomplete_bodies_are_ended_first() {
    let account = Account::new(PLAN);
    let bodies: Vec<_> = (0..4)
        .map(|caller| open_watched(&account, LARGEST, caller))
        .collect();
    for ((share, _), received) in bodies.iter().zip([3 * MIB, 0, MIB, LARGEST]) {
        share.record(received);
    }
    bodies[3].0.complete();
    let ended = || -> Vec<usize> {
        let counts = bodies.iter();
        counts
            .map(|(_, ended)| ended.load(Ordering::Relaxed))
            .collect()
    };
    // All are young.
    let early = open(&account, LARGEST, 9, MIN_AGE / 2).unwrap_err();
    assert!(!early.is_making_room);
    assert_eq!(ended(), [0, 0, 0, 0]);
    for _ in 0..3 {
        let denial = open(&account, LARGEST, 9, MIN_AGE).unwrap_err();
        assert!(denial.is_making_room);
        // The same room serves the next attempt, so that no further body is ended.
        assert_eq!(ended(), [0, 1, 0, 0]);
    }
    assert!(bodies[1].0.is_ended());
    let denial = open(&account, 5 * MIB, 9, MIN_AGE).unwrap_err();
    assert!(denial.is_making_room);
    assert_eq!(ended(), [0, 1, 1, 0]);
    // Only a complete body is left beside the first one.
    let denial = open(&account, 15 * MIB, 9, MIN_AGE).unwrap_err();
    assert!(!denial.is_making_room);
    assert_eq!(ended(), [0, 1, 1, 0]);
}

/// Guards against a caller whose own incomplete bodies keep it from being served, and against one that has those of others ended.
#[test]
fn an_owner_that_holds_too_much_has_only_its_own_bodies_ended() {
    let account = Account::new(PLAN);
    let (other, other_ended) = open_watched(&account, 2 * MIB, 2);
    let own: Vec<_> = (0..2)
        .map(|_| open_watched(&account, LARGEST + MIB, 1))
        .collect();
    for (share, _) in &own {
        share.record(MIB);
    }
    assert!(!other.is_ended());
    let denial = open(&account, MIB, 1, MIN_AGE).unwrap_err();
    assert_eq!(denial.reason, Reason::Owner);
    assert!(denial.is_making_room);
    let ended = own.iter().map(|(_, ended)| ended.load(Ordering::Relaxed));
    assert_eq!(ended.sum::<usize>(), 1);
    assert_eq!(other_ended.load(Ordering::Relaxed), 0);
    drop(own);
    assert!(open(&account, MIB, 1, MIN_AGE).is_ok());
}

/// Guards against an order of bodies that have received equally little in which the newest is ended.
#[test]
fn the_oldest_of_equally_slow_bodies_is_ended_first() {
    let account = Account::new(PLAN);
    let shares: Vec<Share> = (0..4_u8)
        .map(|caller| open(&account, LARGEST, caller, MIN_AGE * u32::from(4 - caller)).unwrap())
        .collect();
    assert!(open(&account, LARGEST, 9, MIN_AGE * 9).is_err());
    let ended: Vec<bool> = shares.iter().map(Share::is_ended).collect();
    assert_eq!(ended, [false, false, false, true]);
}

/// Guards against smaller settings that make the account count below zero.
#[test]
fn a_smaller_plan_keeps_the_shares() {
    let account = Account::new(PLAN);
    let shares = fill(&account);
    account.set_plan(Plan { large: MIB, ..PLAN });
    assert_matches!(open(&account, MIB, 9, START), Err(denial) if denial.reason == Reason::Full);
    drop(shares);
    assert!(open(&account, MIB, 9, START).is_ok());
}

/// Guards against bodies that arrive byte by byte, and against a process that did not run for a while and ends all bodies.
#[test]
fn a_body_must_arrive_at_the_smallest_rate() {
    let mut slow = Pace::default();
    let mut waits = 0;
    while !slow.is_too_slow() {
        slow.record(Duration::from_millis(100), 1);
        waits += 1;
    }
    assert_eq!(waits, 50);
    let mut steady = Pace::default();
    let mut paused = Pace::default();
    for _ in 0..1_000 {
        steady.record(Duration::from_secs(1), pace::PERIOD_BYTES / 4);
        assert!(!steady.is_too_slow());
    }
    for _ in 0..4 {
        paused.record(Duration::from_mins(1), 0);
        assert!(!paused.is_too_slow());
    }
}

proptest! {
    /// Guards against an account that exceeds its parts or does not return to zero, whatever the order of shares.
    #[test]
    fn the_parts_are_never_exceeded(steps in proptest::collection::vec((any::<u8>(), 0_usize..6 * MIB, 0_u64..3), 1..200)) {
        let account = Account::new(PLAN);
        let mut shares: Vec<Share> = Vec::new();
        let mut now = START;
        for (number, bytes, seconds) in steps {
            now += Duration::from_secs(seconds);
            let caller = number % 5;
            match number / 64 {
                0 if !shares.is_empty() => drop(shares.swap_remove(usize::from(number) % shares.len())),
                1 if !shares.is_empty() => {
                    // A denied share keeps its size.
                    let _ = shares[usize::from(number) % shares.len()].grow(bytes, now);
                }
                2 => shares.extend(open(&account, bytes % (2 * SMALL_BYTES), caller, now).ok()),
                _ => shares.extend(open(&account, bytes, caller, now).ok()),
            }
            assert!(account.held() <= PLAN.large + PLAN.small);
        }
        drop(shares);
        assert_eq!(account.held(), 0);
        let all = open(&account, PLAN.large, 1, now);
        assert!(all.is_ok());
    }
}
