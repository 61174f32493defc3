//! Retry budgets of many hosts together.

use core::time::Duration;

use agatemill_fleet::Budget;
use agatemill_fleet::budget::Allowance;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    base: 344.0,
    window: Duration::from_secs(10),
};

const HOSTS: u32 = 80;

/// Requests of callers at each host in a second.
const REQUESTS_PER_S: u32 = 4;

const STEP: Duration = Duration::from_millis(50);

/// Plays 30 s after the first window: in each step eager hosts take as many repeats as they may. Returns when
/// repeats were taken.
fn play(is_eager: impl Fn(u32, Duration) -> bool) -> Vec<Duration> {
    let new = |_| Budget::new(ALLOWANCE, Duration::ZERO);
    let mut budgets: Vec<Budget> = (0..HOSTS).map(new).collect();
    let mut taken = Vec::new();
    for step in 0..600 {
        let now = Duration::from_secs(20) + STEP * step;
        for (host, budget) in (0..HOSTS).zip(&mut budgets) {
            if step.is_multiple_of(20 / REQUESTS_PER_S) {
                budget.record_request(now);
            }
            while is_eager(host, now) && budget.take(HOSTS as usize, now) {
                taken.push(now);
            }
        }
    }
    taken
}

/// Most repeats in any window.
fn most(taken: &[Duration]) -> usize {
    let count = |start: &Duration| {
        let end = *start + ALLOWANCE.window;
        taken.iter().filter(|at| *at >= start && **at < end).count()
    };
    taken.iter().map(count).max().unwrap_or(0)
}

/// Guards against repeats that leave the count before their window is over: a window of exact length held 640
/// where half of the allowance is 492, because whole parts of the window were dropped early.
#[test]
fn no_window_holds_more_than_half_of_the_allowance() {
    let requests = f64::from(REQUESTS_PER_S * HOSTS) * ALLOWANCE.window.as_secs_f64();
    let half = 0.5 * (ALLOWANCE.base + ALLOWANCE.ratio * requests);
    let patterns: [fn(u32, Duration) -> bool; 4] = [
        |_, _| true,
        |host, _| host < 10,
        |host, now| host < 40 || now > Duration::from_secs(28),
        |host, now| (now.as_secs() / 2 + u64::from(host)).is_multiple_of(8),
    ];
    for (number, is_eager) in patterns.into_iter().enumerate() {
        let most = u32::try_from(most(&play(is_eager))).unwrap();
        assert!(
            f64::from(most) <= half,
            "{most} of {half}: pattern {number}"
        );
    }
}
