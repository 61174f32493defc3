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

/// Backend servers that fall silent together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One server.
    Server(usize),
    /// All engines that hold the same layers as this one when the silence starts.
    Half(usize),
    /// All servers.
    All,
}

/// Silences of a seed that start within `over`, in order. They are drawn apart from the faults, so that the faults of a
/// seed do not depend on them.
#[must_use]
pub fn silences(seed: u64, over: Duration) -> Vec<Silence> {
    let mut rng = Rng::with_seed(seed ^ SILENCE_STREAM);
    let mut silences = Vec::new();
    let mut start = Duration::ZERO;
    loop {
        start += Duration::from_millis(rng.u64(0..2 * MEAN_SILENCE_INTERVAL_MS));
        if start >= over {
            return silences;
        }
        let duration = Duration::from_millis(rng.u64(SILENCE_DURATIONS_MS));
        let scope = match rng.u8(0..5) {
            0 | 1 => Scope::Server(rng.usize(0..ENGINES + SERVICES)),
            2 | 3 => Scope::Half(rng.usize(0..ENGINES)),
            _ => Scope::All,
        };
        silences.push(Silence {
            start,
            duration,
            scope,
        });
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
