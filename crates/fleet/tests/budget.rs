//! Combined retry budgets of many hosts.

use core::time::Duration;

use agatemill_fleet::Budget;
use agatemill_fleet::budget::Allowance;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    base: 344.0,
    window: Duration::from_secs(10),
};

const HOSTS: u32 = 80;

/// Requests per second from callers at each host.
const REQUESTS_PER_S: u32 = 4;

const STEP: Duration = Duration::from_millis(50);

/// Simulates 30 s after the first window: in each step the retrying hosts take as many retries as they may.
/// Returns the times of the retries.
fn simulate(is_retrying: impl Fn(u32, Duration) -> bool) -> Vec<Duration> {
    let new = |_| Budget::new(ALLOWANCE, Duration::ZERO);
    let mut budgets: Vec<Budget> = (0..HOSTS).map(new).collect();
    let mut taken = Vec::new();
    for step in 0..600 {
        let now = Duration::from_secs(20) + STEP * step;
        for (host, budget) in (0..HOSTS).zip(&mut budgets) {
            if step.is_multiple_of(20 / REQUESTS_PER_S) {
                budget.record_request(now);
            }
            while is_retrying(host, now) && budget.take(HOSTS as usize, now) {
                taken.push(now);
            }
        }
    }
    taken
}

/// Largest number of retries in any window.
fn max_in_window(taken: &[Duration]) -> usize {
    let count = |start: &Duration| {
        let end = *start + ALLOWANCE.window;
        taken.iter().filter(|at| *at >= start && **at < end).count()
    };
    taken.iter().map(count).max().unwrap_or(0)
}

/// Guards against retries that leave the count before their window is over. A window contained 640 retries where
/// half of the allowance is 492, because whole buckets were dropped early.
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
    for (number, is_retrying) in patterns.into_iter().enumerate() {
        let most = u32::try_from(max_in_window(&simulate(is_retrying))).unwrap();
        assert!(
            f64::from(most) <= half,
            "{most} of {half}: pattern {number}"
        );
    }
}
