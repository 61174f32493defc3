//! Combined retry budgets of many hosts.

use core::time::Duration;

use agatemill_fleet::Budget;
use agatemill_fleet::Headcount;
use agatemill_fleet::budget::Allowance;
use agatemill_fleet::budget::Purpose;

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
    let mut hosts = Headcount::default();
    hosts.record(HOSTS as usize, Duration::ZERO);
    let mut taken = Vec::new();
    for step in 0..600 {
        let now = Duration::from_secs(20) + STEP * step;
        for (host, budget) in (0..HOSTS).zip(&mut budgets) {
            if step.is_multiple_of(20 / REQUESTS_PER_S) {
                budget.record_request(now);
            }
            while is_retrying(host, now) && budget.take(Purpose::Retry, &hosts, now) {
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

/// Numbers from 0 to 1 that are spread evenly, for processes that are numbered.
fn spread(process: u32) -> f64 {
    (f64::from(process) * 0.618_033_988_75).fract()
}

/// A fleet whose hosts take every retry that they may.
struct Fleet {
    allowance: Allowance,
    /// Number of hosts that serve.
    hosts: u32,
    /// Requests per second from callers at all hosts together.
    rate: u32,
    /// Hosts that are listed after `unlisted_at`; the store turns the others away.
    listed: u32,
}

/// When the store begins to turn hosts away: long before the retries that are checked, so that no window remembers
/// the hosts by itself.
const UNLISTED_AT: Duration = Duration::from_secs(20);

/// When retries begin.
const RETRIES_FROM: Duration = Duration::from_secs(40);

const FLEET_STEP: Duration = Duration::from_millis(100);

const END: Duration = Duration::from_secs(70);

impl Fleet {
    /// Plays the fleet, in which all listed hosts are killed at the times `kills`, and returns the largest number of
    /// retries in any window. A host that the store turns away serves nothing after a restart, so it is not killed.
    fn play(&self, kills: &[Duration], offset: fn(u32) -> f64) -> usize {
        let mut processes = 0..;
        let mut start = |now| {
            let offset = offset(processes.next().unwrap());
            Budget::new(self.allowance, now).with_offset(offset)
        };
        let mut hosts: Vec<(Budget, Headcount)> = (0..self.hosts)
            .map(|_| (start(Duration::ZERO), Headcount::default()))
            .collect();
        let mut taken = Vec::new();
        let mut requests = 0;
        let mut now = Duration::ZERO;
        while now < END {
            let is_killed = kills.contains(&now);
            let is_unlisted = now >= UNLISTED_AT;
            let listed = if is_unlisted { self.listed } else { self.hosts };
            for (number, (budget, headcount)) in (0..self.hosts).zip(&mut hosts) {
                if is_killed && number < listed {
                    *budget = start(now);
                    *headcount = Headcount::default();
                }
                headcount.record(listed as usize, now);
            }
            let due = u64::from(self.rate) * u64::try_from(now.as_millis()).unwrap() / 1_000;
            while requests < due {
                let host = usize::try_from(requests % u64::from(self.hosts)).unwrap();
                hosts[host].0.record_request(now);
                requests += 1;
            }
            for (budget, headcount) in &mut hosts {
                while now >= RETRIES_FROM && budget.take(Purpose::Retry, headcount, now) {
                    taken.push(now);
                }
            }
            now += FLEET_STEP;
        }
        max_in_window(&taken)
    }
}

/// Guards against services that get more retries than their operator allows while hosts are restarted or missing from
/// the store's list: 702 retries of 410 with 20 of 78 hosts listed, 1,014 of 920 after two kills of all hosts.
#[test]
fn restarts_and_missing_entries_do_not_exceed_the_allowance() {
    let allowance = Allowance {
        base: 340.0,
        ..ALLOWANCE
    };
    let at = |seconds: &[f64]| -> Vec<Duration> {
        seconds
            .iter()
            .copied()
            .map(Duration::from_secs_f64)
            .collect()
    };
    let kills = [
        at(&[]),
        at(&[42.0]),
        at(&[42.0, 44.5]),
        at(&[42.0, 43.0, 44.0, 45.0, 46.0, 47.0]),
        at(&[50.0, 59.0]),
    ];
    for rate in [35, 290] {
        for listed in [78, 51, 20] {
            for kills in &kills {
                let fleet = Fleet {
                    allowance,
                    hosts: 78,
                    rate,
                    listed,
                };
                let most = [|_| 0.0, spread].map(|offset| fleet.play(kills, offset));
                let most = most.into_iter().max().unwrap();
                let requests = f64::from(rate) * allowance.window.as_secs_f64();
                let allowed = allowance.base + allowance.ratio * requests;
                println!("{rate}/s, {listed} listed, killed at {kills:?}: {most} of {allowed}");
                assert!(
                    f64::from(u32::try_from(most).unwrap()) <= allowed,
                    "{most} of {allowed}: {rate}/s, {listed} listed, killed at {kills:?}"
                );
            }
        }
    }
}

/// Guards against a large fleet that refuses requests of callers although most of its retries are unused: in a play of 295
/// hosts, large engines crashed while each host had received 6 requests, and each sent one retry of the 1.9 of its share.
#[test]
fn hosts_with_small_shares_use_the_retries_of_the_fleet() {
    const LARGE_FLEET: u32 = 295;
    let allowance = Allowance {
        base: 774.0,
        ..ALLOWANCE
    };
    let mut headcount = Headcount::default();
    headcount.record(LARGE_FLEET as usize, Duration::ZERO);
    let now = Duration::from_secs(5);
    let play = |host| {
        let budget = Budget::without_predecessor(allowance, Duration::ZERO);
        let mut budget = budget.with_offset(spread(host));
        (0..6).for_each(|_| budget.record_request(now));
        let takes = core::iter::repeat_with(|| budget.take(Purpose::Retry, &headcount, now));
        takes.take_while(|taken| *taken).count()
    };
    let retries: usize = (0..LARGE_FLEET).map(play).sum();
    let retries = f64::from(u32::try_from(retries).unwrap());
    let half = 0.5 * (allowance.base + allowance.ratio * f64::from(6 * LARGE_FLEET));
    assert!(retries > 0.98 * half, "{retries} of {half} are sent");
    assert!(retries < 1.02 * half, "{retries} of {half} are sent");
}
