//! The fault schedule of a seed.

use core::ops::RangeInclusive;
use core::time::Duration;

use fastrand::Rng;

use crate::proxy;
use agatemill_standin::engine;
use agatemill_standin::store;

/// Gateway hosts of a run, unless another number is given.
pub const HOSTS: u32 = 3;

/// Engines of a run, two for each half of the layers.
pub const ENGINES: usize = 4;

/// Application servers of a run.
pub const SERVICES: usize = 2;

/// Mean interval between the starts of faults with [`HOSTS`] hosts; shorter than most faults, so that they overlap. With
/// more hosts there are more faults in proportion.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;

/// Upper bound of the duration of a fault.
const MAX_FAULT_DURATION_MS: u64 = 3_000;

/// Separates the random numbers of silences from those of the faults of the same seed.
const SILENCE_STREAM: u64 = 0x5349_4c45_4e43_4553;

/// Mean interval between the starts of silences.
const MEAN_SILENCE_INTERVAL_MS: u64 = 1_000;

/// Durations of silences.
const SILENCE_DURATIONS_MS: RangeInclusive<u64> = 500..=1_600;

/// Separates the random numbers of departures from those of the faults of the same seed.
const DEPARTURE_STREAM: u64 = 0x4445_5041_5254_5552;

/// Mean interval between the starts of departures.
const MEAN_DEPARTURE_INTERVAL_MS: u64 = 2_000;

/// Times for which a server that leaves still accepts requests.
const DEPARTURE_DURATIONS_MS: RangeInclusive<u64> = 1_500..=5_000;

/// Separates the random numbers of backoffs from those of the faults of the same seed.
const BACKOFF_STREAM: u64 = 0x4241_434b_4f46_4653;

/// Mean interval between the starts of backoffs.
const MEAN_BACKOFF_INTERVAL_MS: u64 = 1_500;

/// Times for which a server turns requests away.
const BACKOFF_DURATIONS_MS: RangeInclusive<u64> = 200..=1_500;

/// Times for which a server that turns requests away asks for none.
const BACKOFF_WAITS_MS: RangeInclusive<u64> = 300..=4_000;

/// Separates the random numbers of restores from those of the faults of the same seed.
const RESTORE_STREAM: u64 = 0x5245_5354_4f52_4553;

/// Mean interval between the starts of restores.
const MEAN_RESTORE_INTERVAL_MS: u64 = 5_000;

/// Times for which the store is away before it comes back from a copy.
const RESTORE_DURATIONS_MS: RangeInclusive<u64> = 0..=1_500;

/// Ages of the copies.
const COPY_AGES_MS: RangeInclusive<u64> = 200..=10_000;

/// Times after a restore until the operator and the servers write their entries again.
const REWRITE_TIMES_MS: RangeInclusive<u64> = 200..=1_500;

/// A scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the fault ends.
    pub duration: Duration,
    /// Effect of the fault.
    pub kind: Kind,
}

/// Effect of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Suspends a host; its clock jumps when it resumes.
    Freeze(usize),
    /// Kills a host with SIGKILL and restarts it at the end.
    Kill(usize),
    /// Sends SIGTERM to a host and restarts it at the end.
    Terminate(usize),
    /// Sends SIGHUP to a host, which reloads its settings.
    Reload(usize),
    /// Changes the mode of the link between a host and the store.
    StoreLink(usize, proxy::Mode),
    /// Changes the mode of the link between all hosts and a backend server.
    ServerLink(usize, proxy::Mode),
    /// Injects a fault into the store.
    Store(store::Fault),
    /// Compacts the history of the store.
    Compact,
    /// Changes the behaviour of a backend server.
    Server(usize, engine::Behaviour),
    /// Writes a new configuration with or without the second key.
    Configure {
        /// Whether the configuration has the second key.
        has_second_key: bool,
    },
}

/// A scheduled time in which backend servers send nothing while their connections stay open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the servers continue.
    pub duration: Duration,
    /// The servers.
    pub scope: Scope,
}

/// Backend servers that behave alike at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One server.
    Server(usize),
    /// All engines that hold the same layers as this one at the start.
    Half(usize),
    /// All servers.
    All,
}

/// A scheduled time in which a backend server says in all responses that it leaves, while the store lists it as ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the server ends and is started again as a new instance; `None` if it still leaves at the end of the run.
    pub duration: Option<Duration>,
    /// The server.
    pub server: usize,
}

/// A scheduled time in which backend servers turn requests away and ask for none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the servers accept requests again.
    pub duration: Duration,
    /// The servers.
    pub scope: Scope,
    /// Time for which they ask for no requests.
    pub wait: Duration,
}

/// A scheduled time in which the store is away, and comes back from an older copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restore {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the store is back.
    pub duration: Duration,
    /// Age of the copy when the store is back.
    pub age: Duration,
    /// What becomes of the leases.
    pub leases: store::Leases,
    /// Time until the operator and the servers write their entries again.
    pub rewrite: Duration,
}

impl Departure {
    /// When the server ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.duration
            .map_or(Duration::MAX, |duration| self.start + duration)
    }
}

/// What is injected into a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Faults.
    pub faults: Vec<Fault>,
    /// Silences of servers.
    pub silences: Vec<Silence>,
    /// Departures of servers.
    pub departures: Vec<Departure>,
    /// Times for which servers ask for no requests.
    pub backoffs: Vec<Backoff>,
    /// Restores of the store.
    pub restores: Vec<Restore>,
}

impl Schedule {
    /// The schedule of a seed for a number of hosts, in which everything starts within `over`.
    #[must_use]
    pub fn new(seed: u64, over: Duration, hosts: u32) -> Self {
        Self {
            faults: faults(seed, over, hosts),
            silences: silences(seed, over),
            departures: departures(seed, over),
            backoffs: backoffs(seed, over),
            restores: restores(seed, over),
        }
    }

    /// Number of faults of all kinds.
    #[must_use]
    pub fn fault_count(&self) -> usize {
        let of_servers = self.silences.len() + self.departures.len() + self.backoffs.len();
        self.faults.len() + of_servers + self.restores.len()
    }

    /// When the last silence, backoff or restore has ended, and the last departure has begun.
    #[must_use]
    pub fn end(&self) -> Duration {
        let silences = self
            .silences
            .iter()
            .map(|silence| silence.start + silence.duration);
        let departures = self.departures.iter().map(|departure| departure.start);
        let backoffs = self
            .backoffs
            .iter()
            .map(|backoff| backoff.start + backoff.duration);
        let restores = self
            .restores
            .iter()
            .map(|restore| restore.start + restore.duration + restore.rewrite);
        let ends = silences.chain(departures).chain(backoffs).chain(restores);
        ends.max().unwrap_or_default()
    }
}

/// Silences of a seed that start within `over`, in order. They are drawn apart from the faults, so that the faults of a
/// seed do not depend on them.
#[must_use]
pub fn silences(seed: u64, over: Duration) -> Vec<Silence> {
    let draw = |rng: &mut Rng, start| {
        let duration = Duration::from_millis(rng.u64(SILENCE_DURATIONS_MS));
        let scope = match rng.u8(0..5) {
            0 | 1 => Scope::Server(rng.usize(0..ENGINES + SERVICES)),
            2 | 3 => Scope::Half(rng.usize(0..ENGINES)),
            _ => Scope::All,
        };
        Some(Silence {
            start,
            duration,
            scope,
        })
    };
    schedule(seed ^ SILENCE_STREAM, MEAN_SILENCE_INTERVAL_MS, over, draw)
}

/// Departures of a seed that start within `over`, in order, drawn apart from the faults. At most one engine and one
/// application server leave until the end of the run; any number may leave at a time.
#[must_use]
pub fn departures(seed: u64, over: Duration) -> Vec<Departure> {
    let mut staying_from = [Duration::ZERO; ENGINES + SERVICES];
    let draw = |rng: &mut Rng, start| {
        let server = rng.usize(0..ENGINES + SERVICES);
        let duration = Duration::from_millis(rng.u64(DEPARTURE_DURATIONS_MS));
        let is_last = rng.u8(0..4) == 0;
        if start < staying_from[server] {
            return None;
        }
        let (engines, services) = staying_from.split_at(ENGINES);
        let others = if server < ENGINES { engines } else { services };
        let duration = (!is_last || others.contains(&Duration::MAX)).then_some(duration);
        staying_from[server] = duration.map_or(Duration::MAX, |duration| start + duration);
        Some(Departure {
            start,
            duration,
            server,
        })
    };
    schedule(
        seed ^ DEPARTURE_STREAM,
        MEAN_DEPARTURE_INTERVAL_MS,
        over,
        draw,
    )
}

/// Backoffs of a seed that start within `over`, in order, drawn apart from the faults.
#[must_use]
pub fn backoffs(seed: u64, over: Duration) -> Vec<Backoff> {
    let draw = |rng: &mut Rng, start| {
        let duration = Duration::from_millis(rng.u64(BACKOFF_DURATIONS_MS));
        let wait = Duration::from_millis(rng.u64(BACKOFF_WAITS_MS));
        let scope = match rng.u8(0..6) {
            0..=3 => Scope::Server(rng.usize(0..ENGINES + SERVICES)),
            4 => Scope::Half(rng.usize(0..ENGINES)),
            _ => Scope::All,
        };
        Some(Backoff {
            start,
            duration,
            scope,
            wait,
        })
    };
    schedule(seed ^ BACKOFF_STREAM, MEAN_BACKOFF_INTERVAL_MS, over, draw)
}

/// Restores of a seed that start within `over`, in order, drawn apart from the faults.
#[must_use]
pub fn restores(seed: u64, over: Duration) -> Vec<Restore> {
    let draw = |rng: &mut Rng, start| {
        let leases = [
            store::Leases::Kept,
            store::Leases::Lost,
            store::Leases::Orphaned,
        ];
        Some(Restore {
            start,
            duration: Duration::from_millis(rng.u64(RESTORE_DURATIONS_MS)),
            age: Duration::from_millis(rng.u64(COPY_AGES_MS)),
            leases: *pick(rng, &leases),
            rewrite: Duration::from_millis(rng.u64(REWRITE_TIMES_MS)),
        })
    };
    schedule(seed ^ RESTORE_STREAM, MEAN_RESTORE_INTERVAL_MS, over, draw)
}

/// Draws items with random starts within `over`, in order.
fn schedule<T>(
    seed: u64,
    mean_interval_ms: u64,
    over: Duration,
    mut draw: impl FnMut(&mut Rng, Duration) -> Option<T>,
) -> Vec<T> {
    let mut rng = Rng::with_seed(seed);
    let mut items = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += Duration::from_millis(rng.u64(0..2 * mean_interval_ms));
        if start >= over {
            return items;
        }
        items.extend(draw(&mut rng, start));
    }
}

/// Faults of a seed for a number of hosts that start within `over`, in the order in which they are drawn.
#[must_use]
pub fn faults(seed: u64, over: Duration, hosts: u32) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        let interval = Duration::from_millis(rng.u64(0..2 * MEAN_FAULT_INTERVAL_MS));
        start += interval * HOSTS / hosts;
        if start >= over {
            return faults;
        }
        let kind = random_kind(&mut rng, hosts);
        let duration = Duration::from_millis(rng.u64(100..MAX_FAULT_DURATION_MS));
        // A quarter of the faults occur twice, 400 ms apart.
        for repeat in 0..if rng.u8(..4) == 0 { 2 } else { 1 } {
            let start = start + Duration::from_millis(400) * repeat;
            let kind = kind.clone();
            faults.push(Fault {
                start,
                duration,
                kind,
            });
        }
    }
}

fn random_kind(rng: &mut Rng, hosts: u32) -> Kind {
    let host = rng.usize(0..hosts as usize);
    let server = rng.usize(0..ENGINES + SERVICES);
    match rng.u8(0..12) {
        0 => Kind::Freeze(host),
        1 | 2 => Kind::Kill(host),
        3 => Kind::Terminate(host),
        4 => Kind::Reload(host),
        5 | 6 => Kind::StoreLink(host, random_mode(rng)),
        7 => Kind::ServerLink(server, random_mode(rng)),
        8 => Kind::Store(*pick(
            rng,
            &[
                store::Fault::Silent,
                store::Fault::Busy,
                store::Fault::AnswersLost,
            ],
        )),
        9 => Kind::Compact,
        10 => Kind::Server(server, random_behaviour(rng)),
        _ => Kind::Configure {
            has_second_key: rng.bool(),
        },
    }
}

fn random_mode(rng: &mut Rng) -> proxy::Mode {
    let delay = Duration::from_millis(rng.u64(20..400));
    let modes = [
        proxy::Mode::Delay(delay),
        proxy::Mode::Reset,
        proxy::Mode::Stall,
        proxy::Mode::StallRequests,
        proxy::Mode::StallResponses,
    ];
    *pick(rng, &modes)
}

fn random_behaviour(rng: &mut Rng) -> engine::Behaviour {
    let behaviours = [
        engine::Behaviour::Reject,
        engine::Behaviour::Reset,
        engine::Behaviour::BreakAfter(rng.u32(0..engine::EVENTS)),
        engine::Behaviour::StallAfter(rng.u32(0..engine::EVENTS)),
        engine::Behaviour::Slow(rng.u64(50..1_500)),
    ];
    *pick(rng, &behaviours)
}

fn pick<'a, T>(rng: &mut Rng, from: &'a [T]) -> &'a T {
    &from[rng.usize(0..from.len())]
}
