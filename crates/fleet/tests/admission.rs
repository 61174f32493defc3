//! Admission by urgency, played at fleets of several sizes.

mod play;

use core::time::Duration;
use std::sync::OnceLock;

use self::play::Play;
use self::play::Request;
use self::play::Script;
use self::play::host::TARGETS;
use agatemill_core::Urgency;
use agatemill_fleet::admission::Policy;
use agatemill_fleet::admission::Returns;

const HOSTS: [usize; 3] = [8, 80, 300];

/// A burst and a loss of memory, each without its first second, in which the hosts learn of it.
const OVERLOADS: [(f64, f64); 2] = [(9.0, 14.0), (23.0, 28.0)];

/// Share of requests by which an order may be missed by chance.
const CHANCE: f64 = 0.01;

/// Usual load; a burst from 8 s to 14 s; the loss of a quarter of the memory from 22 s to 28 s.
fn script(hosts: usize, policy: Option<Policy>) -> Script {
    Script {
        hosts,
        policy,
        end_s: 36.0,
        rates: |at| match at {
            8.0..14.0 => [1.7, 1.0, 2.1],
            _ => [1.0; 3],
        },
        memory: |at| match at {
            22.0..28.0 => 0.75,
            _ => 1.0,
        },
        links: |_, _, _| true,
        is_up: |_, _| true,
    }
}

/// The plays with the policy, each run once.
fn plays() -> &'static [Play] {
    static PLAYS: OnceLock<Vec<Play>> = OnceLock::new();
    PLAYS.get_or_init(|| {
        let play = |hosts| Play::run(script(hosts, Some(Policy::default())));
        HOSTS.into_iter().map(play).collect()
    })
}

/// Fails a test with all that was found at fleets of all sizes.
fn report(faults: &[String]) {
    assert!(faults.is_empty(), "\n{}", faults.join("\n"));
}

fn check(faults: &mut Vec<String>, is_kept: bool, fault: impl FnOnce() -> String) {
    if !is_kept {
        faults.push(fault());
    }
}

fn is_within(at: Duration, (from, to): (f64, f64)) -> bool {
    (from..to).contains(&at.as_secs_f64())
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Let in at the first attempt within half of the target latency, and not preempted.
fn is_in_time(request: &Request) -> bool {
    let waited = request
        .admitted
        .map(|at| at.saturating_sub(request.arrived));
    let is_prompt = waited.is_some_and(|waited| waited <= TARGETS[request.kind] / 2);
    is_prompt && request.attempts == 1 && !request.is_preempted
}

/// Share of the requests of each kind that were in time.
fn in_time(play: &Play, span: (f64, f64)) -> [f64; 3] {
    [0, 1, 2].map(|kind| {
        let of_kind = |request: &&Request| request.kind == kind && is_within(request.born, span);
        let requests: Vec<_> = play.requests.iter().filter(of_kind).collect();
        let in_time = requests.iter().filter(|request| is_in_time(request));
        ratio(in_time.count(), requests.len())
    })
}

/// Whether each kind is in time at least as often as the next, and the first clearly more often than the last: first come first served
/// gives all kinds about the same share.
fn is_ordered(shares: [f64; 3]) -> bool {
    const GAP: f64 = 0.1;
    let is_falling = shares[0] + CHANCE >= shares[1] && shares[1] + CHANCE >= shares[2];
    is_falling && shares[0] >= shares[2] + GAP
}

/// Guards against less urgent requests that are served while urgent ones are late.
#[test]
fn the_share_in_time_is_ordered_by_urgency() {
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for span in OVERLOADS {
            let shares = in_time(play, span);
            println!("{hosts} hosts, {span:?}: {shares:?}");
            check(&mut faults, is_ordered(shares), || {
                format!("{hosts} hosts, {span:?}: {shares:?}")
            });
        }
    }
    report(&faults);
}

/// Guards against a policy that refuses requests of the usual load, which takes 0.8 of the memory.
#[test]
fn the_usual_load_is_served_in_time() {
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        let shares = in_time(play, (3.0, 8.0));
        println!("{hosts} hosts, usual load: {shares:?}");
        let is_kept = shares.iter().all(|share| *share > 0.99);
        check(&mut faults, is_kept, || {
            format!("{hosts} hosts: {shares:?}")
        });
    }
    report(&faults);
}

/// Shows that the check of the order finds what it guards against: without the policy, all kinds are late alike.
#[test]
fn without_the_policy_the_order_is_missed() {
    for hosts in HOSTS {
        let play = Play::run(script(hosts, None));
        let shares = OVERLOADS.map(|span| in_time(&play, span));
        println!("{hosts} hosts without the policy: {shares:?}");
        assert!(!shares.into_iter().any(is_ordered), "{hosts}: {shares:?}");
    }
}

/// Guards against urgent requests that are refused in rounds in which less urgent ones above their floor are let in.
#[test]
fn no_request_is_refused_for_less_urgent_ones() {
    const BOUND: f64 = 0.02;
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for kind in 0..2 {
            let mut inverted = 0;
            for round in 0_u32..144 {
                let from = f64::from(round) * 0.25;
                let span = (from, from + 0.25);
                let refused = play.refusals.iter();
                let refused = refused.filter(|one| one.kind == kind && is_within(one.at, span));
                let is_above = |(at, other, held): &&(Duration, usize, f64)| {
                    let floor = 1.5 * Policy::default().floor;
                    *other > kind && *held > floor && is_within(*at, span)
                };
                let admitted = play.admissions.iter().filter(is_above);
                inverted += refused.count().min(admitted.count());
            }
            let attempts = play.requests.iter().filter(|one| one.kind == kind);
            let share = ratio(inverted, attempts.count());
            println!("{hosts} hosts, kind {kind}: {share:.4} refused for less urgent ones");
            check(&mut faults, share <= BOUND, || {
                format!("{hosts} hosts, kind {kind}: {share}")
            });
        }
    }
    report(&faults);
}

/// Guards against requests that are refused only after the time in which another host could have served them.
#[test]
fn the_wait_before_a_refusal_is_bounded() {
    // A waiting request looks again every 40 ms.
    let recheck = Duration::from_millis(40);
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for refusal in &play.refusals {
            let limit = TARGETS[refusal.kind].mul_f64(Policy::default().wait) + recheck;
            check(&mut faults, refusal.waited <= limit, || {
                format!("{hosts} hosts: {refusal:?}")
            });
        }
    }
    report(&faults);
}

/// Guards against an organisation with few requests that is starved by one with many.
#[test]
fn every_organisation_is_served() {
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for (kind, span) in [0, 1, 2]
            .into_iter()
            .flat_map(|kind| OVERLOADS.map(|span| (kind, span)))
        {
            let served = [0, 1, 2, 3, 4].map(|organisation| {
                let is_of = |one: &&Request| {
                    one.kind == kind
                        && one.organisation == organisation
                        && is_within(one.born, span)
                };
                let requests: Vec<_> = play.requests.iter().filter(is_of).collect();
                let admitted = requests.iter().filter(|one| one.admitted.is_some());
                ratio(admitted.count(), requests.len())
            });
            let mean = served.iter().sum::<f64>() / 5.0;
            let least = served.iter().copied().fold(1.0, f64::min);
            check(&mut faults, least >= mean / 4.0, || {
                format!("{hosts} hosts, kind {kind}: {served:?}")
            });
        }
    }
    report(&faults);
}

/// Guards against refusals while the memory has room beyond the reserve and what hosts cannot know yet.
#[test]
fn nobody_is_refused_while_room_is_left() {
    // Room that is neither reserved for more urgent requests, nor unseen.
    const UNSEEN: f64 = 0.1;
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        let policy = Policy::default();
        let is_early = |refusal: &&play::Refusal| {
            let fill = policy.fill - UNSEEN - refusal.urgent * policy.reserve.as_secs_f64();
            refusal.used < fill
        };
        let early: Vec<_> = play.refusals.iter().filter(is_early).collect();
        let count = play.refusals.len();
        println!(
            "{hosts} hosts: {} of {count} refused with room left",
            early.len()
        );
        check(&mut faults, early.is_empty(), || {
            format!("{hosts} hosts: {} of {count}: {:?}", early.len(), early[0])
        });
    }
    report(&faults);
}

/// Guards against times that callers do not honour, and against callers that return all at once.
#[test]
fn returns_are_honoured_and_spread() {
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for refusal in &play.refusals {
            check(&mut faults, refusal.promised <= refusal.left / 3, || {
                format!("{hosts} hosts: {refusal:?}")
            });
        }
        for span in OVERLOADS {
            let mut slots = vec![0_usize; 50];
            for refusal in &play.refusals {
                let back = (refusal.at + refusal.promised).as_secs_f64();
                if back < span.0 || back >= span.1 {
                    continue;
                }
                // From 0 to below 50.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let slot = ((back - span.0) * 10.0) as usize;
                slots[slot.min(49)] += 1;
            }
            let (sum, max) = (slots.iter().sum::<usize>(), slots.iter().max().unwrap());
            println!("{hosts} hosts, {span:?}: {sum} returns, most in 100 ms {max}");
            let bound = 3.0 * ratio(sum, 50) + 10.0;
            check(&mut faults, ratio(*max, 1) <= bound, || {
                format!("{hosts} hosts, {span:?}: {slots:?}")
            });
        }
    }
    report(&faults);
}

/// Share of the first attempts within each round that were let in at them.
fn admitted_by_round(play: &Play, (from, to): (f64, f64)) -> Vec<f64> {
    let rounds = (0_u32..).map(|round| from + 0.25 * f64::from(round));
    let share = |at: f64| {
        let is_of = |one: &&Request| is_within(one.born, (at, at + 0.25));
        let requests: Vec<_> = play.requests.iter().filter(is_of).collect();
        let admitted = requests.iter();
        let admitted = admitted.filter(|one| one.admitted.is_some() && one.attempts == 1);
        ratio(admitted.count(), requests.len())
    };
    rounds.take_while(|at| *at < to).map(share).collect()
}

/// Guards against hosts that all let in and all refuse in turn, and against an overload that goes on after its cause.
#[test]
fn the_admitted_share_is_steady_and_recovers() {
    const SWING: f64 = 0.3;
    const RECOVERY_S: f64 = 4.0;
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for span in OVERLOADS {
            let shares = admitted_by_round(play, span);
            let swings = shares.windows(2).map(|pair| (pair[1] - pair[0]).abs());
            let swing = swings.fold(0.0, f64::max);
            println!("{hosts} hosts, {span:?}: greatest swing {swing:.2}, shares {shares:.2?}");
            check(&mut faults, swing <= SWING, || {
                format!("{hosts} hosts, {span:?}: {shares:.2?}")
            });
        }
        for end in [14.0 + RECOVERY_S, 28.0 + RECOVERY_S] {
            let shares = admitted_by_round(play, (end, end + 2.0));
            let all = shares.iter().all(|share| *share > 0.999);
            check(&mut faults, all, || {
                format!("{hosts} hosts, from {end} s: {shares:.3?}")
            });
        }
    }
    report(&faults);
}

/// Guards against a kind that more urgent ones keep out altogether.
#[test]
fn each_kind_gets_its_floor() {
    let mut faults = Vec::new();
    for (play, hosts) in plays().iter().zip(HOSTS) {
        for (from, to) in OVERLOADS {
            // The second half of an overload; a step has 10 ms.
            let steps =
                usize::try_from(Duration::from_secs_f64(f64::midpoint(from, to)).as_millis() / 10)
                    .unwrap();
            let held = &play.held[steps..steps + 250];
            for kind in 1..3 {
                let mean = held.iter().map(|held| held[kind]).sum::<f64>() / 250.0;
                println!("{hosts} hosts, kind {kind} from {from} s: {mean:.3}");
                check(&mut faults, mean >= Policy::default().floor, || {
                    format!("{hosts} hosts, kind {kind}: {mean}")
                });
            }
        }
    }
    report(&faults);
}

/// Guards against return times that all callers share, and against an urgent caller that is told to come after others.
#[test]
fn each_caller_has_a_return_time_of_its_own() {
    let mut returns = Returns::default();
    let (now, spacing) = (Duration::from_secs(100), Duration::from_millis(50));
    let latest = Duration::from_secs(6);
    let mut promise = |kind| {
        let urgency = Urgency::new(None, kind);
        returns.promise(urgency, Some(Duration::ZERO), spacing, latest, now)
    };
    let normal: Vec<Duration> = (0..10).map(|_| promise(1)).collect();
    for pair in normal.windows(2) {
        assert_eq!(pair[1], pair[0] + spacing);
    }
    assert!(normal[0] >= Duration::from_millis(500));
    let urgent = promise(0);
    assert_eq!(urgent, normal[0], "before those that are less urgent");
    assert!(
        promise(2) >= normal[9] + spacing,
        "after those that are more urgent"
    );
    let last = (0..1_000).map(|_| promise(1)).max();
    assert_eq!(last, Some(latest));
}
