//! Measurement of demand at one host, and its sums.

use core::time::Duration;

use agatemill_core::Urgency;
use agatemill_fleet::Demand;
use agatemill_fleet::demand::Meter;
use agatemill_fleet::demand::Row;
use agatemill_fleet::demand::Subject;

const SECOND: Duration = Duration::from_secs(1);
const TOKENS: f64 = 1_000.0;

fn subject(service: &str, urgency: u8) -> Subject {
    Subject::new(&service.parse().unwrap(), Urgency::new(None, urgency))
}

/// Records requests at `per_s` a second, evenly from `from` to `to`.
fn offer(meter: &mut Meter, subject: Subject, per_s: u32, from: Duration, to: Duration) {
    let interval = SECOND / per_s;
    let mut at = from;
    while at < to {
        meter.offer(subject, TOKENS, at);
        at += interval;
    }
}

fn offered(meter: &Meter, subject: Subject, now: Duration) -> f64 {
    f64::from(meter.demand(now).of(subject).offered) / TOKENS
}

/// Guards against a measured rate that shows a burst, or its end, only after hosts have let in too much.
#[test]
fn the_rate_follows_a_burst_within_a_second() {
    let (mut meter, kind) = (Meter::default(), subject("model", 0));
    offer(&mut meter, kind, 100, Duration::ZERO, SECOND * 10);
    let usual = offered(&meter, kind, SECOND * 10);
    assert!((95.0..=105.0).contains(&usual), "{usual}");
    offer(&mut meter, kind, 200, SECOND * 10, SECOND * 11);
    let burst = offered(&meter, kind, SECOND * 11);
    assert!((180.0..=205.0).contains(&burst), "{burst}");
    offer(&mut meter, kind, 100, SECOND * 11, SECOND * 12);
    let after = offered(&meter, kind, SECOND * 12);
    assert!((95.0..=120.0).contains(&after), "{after}");
    let idle = offered(&meter, kind, SECOND * 15);
    assert!(idle < 1.0, "{idle}");
}

/// Guards against a sum over many hosts that each see a few requests a second which is biased by their small numbers.
#[test]
fn the_sum_over_hosts_is_the_rate_of_the_fleet() {
    let mut rng = fastrand::Rng::with_seed(7);
    let kind = subject("model", 1);
    let mut sums = Vec::new();
    let mut meters = vec![Meter::default(); 80];
    for ms in 1..=10_000 {
        let now = Duration::from_millis(ms);
        for meter in &mut meters {
            if rng.f64() < 3.5 / 1_000.0 {
                meter.offer(kind, TOKENS, now);
            }
        }
        if ms > 3_000 && ms % 250 == 0 {
            let mut sum = Demand::default();
            for meter in &meters {
                sum.add(&meter.demand(now));
            }
            sums.push(f64::from(sum.of(kind).offered) / TOKENS);
        }
    }
    let count = f64::from(u32::try_from(sums.len()).unwrap());
    let mean = sums.iter().sum::<f64>() / count;
    assert!((266.0..=294.0).contains(&mean), "{mean} instead of 280");
    let is_near = |sum: &f64| (190.0..=370.0).contains(sum);
    assert!(sums.iter().all(is_near), "{sums:?}");
}

/// Guards against tokens that stay counted after requests end, and against ends that make them negative.
#[test]
fn waiting_and_held_tokens_end_with_their_requests() {
    let (mut meter, kind) = (Meter::default(), subject("model", 0));
    for _ in 0..3 {
        meter.begin_wait(kind, TOKENS);
        meter.begin_run(kind, TOKENS, SECOND);
    }
    meter.end_wait(kind, TOKENS);
    meter.end_run(kind, TOKENS, SECOND);
    let row = meter.demand(SECOND).of(kind);
    assert_eq!((row.waiting, row.held), (2_000, 2_000));
    assert_eq!((row.sent, row.ended), (6_000, 2_000));
    for _ in 0..4 {
        meter.end_wait(kind, TOKENS);
        meter.end_run(kind, TOKENS, SECOND);
    }
    let row = meter.demand(SECOND).of(kind);
    assert_eq!((row.waiting, row.held), (0, 0));
    assert_eq!(
        meter.demand(SECOND * 60),
        Demand::default(),
        "takes no space"
    );
}

/// Guards against reserves for requests of the same urgency, of less urgent ones, or of another service.
#[test]
fn only_more_urgent_requests_of_the_service_come_before() {
    let mut demand = Demand::default();
    for (service, urgency, offered) in [
        ("model", 0, 1),
        ("model", 1, 10),
        ("model", 2, 100),
        ("other", 0, 1_000),
    ] {
        let row = Row {
            offered,
            ..Row::default()
        };
        demand.set(subject(service, urgency), row);
    }
    let before = |urgency| demand.before(subject("model", urgency)).offered;
    assert_eq!([0, 1, 2, 9].map(before), [0, 1, 11, 111]);
    let service = subject("model", 0).service;
    assert_eq!(demand.all(service).offered, 111);
    assert_eq!(demand.of(subject("model", 3)), Row::default());
}

/// Guards against a sum of large numbers that wraps around.
#[test]
fn sums_saturate() {
    let kind = subject("model", 0);
    let row = Row {
        offered: u32::MAX,
        held: 5,
        ..Row::default()
    };
    let mut demand = Demand::default();
    demand.set(kind, row);
    let other = demand.clone();
    demand.add(&other);
    assert_eq!(demand.of(kind).offered, u32::MAX);
    assert_eq!(demand.of(kind).held, 10);
    demand.set(kind, Row::default());
    assert_eq!(demand, Demand::default());
}
