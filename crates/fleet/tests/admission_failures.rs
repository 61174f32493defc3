//! Admission by urgency while one thing has failed within a burst.

mod play;

use self::play::Play;
use self::play::Request;
use self::play::Script;
use agatemill_fleet::admission::Policy;

const HOSTS: usize = 80;

/// The span of a failure in seconds, and the time from its start until totals are too old to be used.
const FAILURE: (f64, f64) = (10.0, 14.0);
const EXPIRY_S: f64 = 1.2;

/// Ten of the hosts, which start within the burst.
fn is_starting(host: usize) -> bool {
    host % 8 == 4
}

fn has_failed(at: f64) -> bool {
    (FAILURE.0..FAILURE.1).contains(&at)
}

/// A burst from 8 s to 16 s, without a failure.
fn script(policy: Option<Policy>) -> Script {
    Script {
        hosts: HOSTS,
        policy,
        end_s: 18.0,
        rates: |at| match at {
            8.0..16.0 => [1.7, 1.0, 2.1],
            _ => [1.0; 3],
        },
        memory: |_| 1.0,
        links: |_, _, _| true,
        is_up: |_, _| true,
    }
}

/// Zone 0 has no collector.
fn collector_killed(at: f64, zone: usize, other: usize) -> bool {
    !has_failed(at) || (zone != 0 && other != 0)
}

/// No zone gets a total.
fn totals_lost(at: f64, _: usize, _: usize) -> bool {
    !has_failed(at)
}

/// Zone 2 is on the other side of a partition.
fn partitioned(at: f64, zone: usize, other: usize) -> bool {
    !has_failed(at) || (zone == 2) == (other == 2)
}

fn born_within(play: &Play, from: f64, to: f64) -> impl Iterator<Item = &Request> {
    let requests = play.requests.iter();
    requests.filter(move |request| (from..to).contains(&request.born.as_secs_f64()))
}

fn preempted(play: &Play, from: f64, to: f64) -> usize {
    let requests = born_within(play, from, to);
    requests.filter(|request| request.is_preempted).count()
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn share<'a>(
    requests: impl Iterator<Item = &'a Request>,
    is_counted: impl Fn(&Request) -> bool,
) -> f64 {
    let requests: Vec<&Request> = requests.collect();
    let counted = requests.iter().filter(|request| is_counted(request));
    counted.count() as f64 / requests.len().max(1) as f64
}

/// Whether no kind is served less often than a less urgent one, beyond what the number of requests leaves to chance.
fn is_ordered(shares: [f64; 3]) -> bool {
    const CHANCE: f64 = 0.05;
    shares[0] + CHANCE >= shares[1].max(shares[2])
}

fn is_served_at_once(request: &Request) -> bool {
    request.attempts == 1 && request.admitted.is_some()
}

/// Share of each kind that was let in at the first attempt at hosts for which `is_counted` returns true.
fn served(play: &Play, from: f64, to: f64, is_counted: impl Fn(usize) -> bool) -> [f64; 3] {
    [0, 1, 2].map(|kind| {
        let requests = born_within(play, from, to);
        let of_kind = |request: &&Request| request.kind == kind && is_counted(request.host);
        share(requests.filter(of_kind), is_served_at_once)
    })
}

/// Plays a failure with and without the policy.
fn both(links: fn(f64, usize, usize) -> bool) -> (Play, Play) {
    let play = |policy| {
        Play::run(Script {
            links,
            ..script(policy)
        })
    };
    (play(Some(Policy::default())), play(None))
}

/// Checks that streams which were let in before the failure are kept as often as without the policy.
fn check_kept(with: &Play, without: &Play) {
    let lost = [with, without].map(|play| preempted(play, 8.0, FAILURE.0));
    let during = [with, without].map(|play| preempted(play, FAILURE.0, FAILURE.1));
    println!("preempted of those let in before: {lost:?}, during: {during:?}");
    assert!(lost[0] <= lost[1], "{lost:?}");
}

/// Guards against hosts without a total that hold requests back by urgency: each request has the fate that it has without the policy.
#[test]
fn without_any_total_hosts_admit_as_without_the_policy() {
    let fates = [Some(Policy::default()), None].map(|policy| {
        let play = Play::run(Script {
            links: |_, _, _| false,
            ..script(policy)
        });
        let requests = play.requests.into_iter();
        let fate = |one: Request| {
            (
                one.born,
                one.kind,
                one.attempts,
                one.admitted,
                one.is_preempted,
            )
        };
        requests.map(fate).collect::<Vec<_>>()
    });
    assert!(fates[0].iter().any(|fate| fate.2 > 1), "some are refused");
    assert_eq!(fates[0], fates[1]);
}

/// Guards against streams that are ended when all totals are lost within the burst.
#[test]
fn what_was_admitted_is_kept_when_totals_are_lost() {
    let (with, without) = both(totals_lost);
    check_kept(&with, &without);
}

/// Guards against a zone without a collector that stops to admit, and against other zones that lose the order with it.
#[test]
fn a_killed_collector_affects_only_its_zone() {
    let (with, without) = both(collector_killed);
    let from = FAILURE.0 + EXPIRY_S + 0.5;
    let of_zone = served(&with, from, FAILURE.1, |host| host % 3 == 0);
    let of_others = served(&with, from, FAILURE.1, |host| host % 3 != 0);
    println!("its zone {of_zone:?}, others {of_others:?}");
    assert!(of_zone[0] > 0.3, "{of_zone:?}");
    assert!(is_ordered(of_others), "{of_others:?}");
    check_kept(&with, &without);
}

/// Guards against a side of a partition that stops to admit, or lets less urgent requests in before urgent ones.
#[test]
fn both_sides_of_a_partition_keep_the_order() {
    let (with, without) = both(partitioned);
    for is_cut in [false, true] {
        let shares = served(&with, FAILURE.0 + 0.5, FAILURE.1, |host| {
            (host % 3 == 2) == is_cut
        });
        println!("cut {is_cut}: {shares:?}");
        assert!(shares[0] > 0.3, "{shares:?}");
        assert!(is_ordered(shares), "{shares:?}");
    }
    check_kept(&with, &without);
}

/// Guards against totals of before a failure that still count after it.
#[test]
fn the_order_returns_after_each_failure() {
    for (name, links) in [
        (
            "collector killed",
            collector_killed as fn(f64, usize, usize) -> bool,
        ),
        ("totals lost", totals_lost),
        ("partition", partitioned),
    ] {
        let (with, _) = both(links);
        let shares = served(&with, FAILURE.1 + 1.0, FAILURE.1 + 2.0, |_| true);
        println!("{name}: {shares:?}");
        assert!(is_ordered(shares), "{name}: {shares:?}");
        assert!(shares[0] > shares[2], "{name}: {shares:?}");
    }
}

/// Guards against hosts that start within the burst, know no total, and fill the engines or refuse all.
#[test]
fn hosts_that_start_within_a_burst_let_in_their_share() {
    let play = |policy| {
        Play::run(Script {
            is_up: |at, host| !is_starting(host) || at >= FAILURE.0,
            ..script(policy)
        })
    };
    let (with, without) = (play(Some(Policy::default())), play(None));
    let first = born_within(&with, FAILURE.0, FAILURE.0 + 0.25);
    let first: Vec<&Request> = first.filter(|one| is_starting(one.host)).collect();
    let admitted = first.iter().filter(|one| is_served_at_once(one)).count();
    println!("{admitted} of {} let in within a round", first.len());
    // The memory has room for about 1,060 requests, of which ten hosts of 80 have a share of 132.
    assert!(
        (1..=132).contains(&admitted),
        "{admitted} of {}",
        first.len()
    );
    let later = served(&with, FAILURE.0 + 1.0, FAILURE.1, is_starting);
    let others = served(&with, FAILURE.0 + 1.0, FAILURE.1, |host| !is_starting(host));
    println!("{later:?}, others {others:?}");
    assert!(later[0] > 0.9 * others[0], "{later:?}, others {others:?}");
    check_kept(&with, &without);
}
