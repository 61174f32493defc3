//! The faults of a seed.

use core::time::Duration;

use fastrand::Rng;

use crate::proxy;
use agatemill_standin::engine;
use agatemill_standin::store;

/// Entry hosts of a play.
pub const HOSTS: usize = 3;

/// Engines of a play, two for each half of the layers.
pub const ENGINES: usize = 4;

/// Application servers of a play.
pub const SERVICES: usize = 2;

/// Mean pause between the starts of faults: shorter than most of them last, so that they overlap.
const PAUSE_MS: u64 = 700;

/// Longest fault.
const MAX_FAULT_MS: u64 = 3_000;

/// One fault of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time from the start of the faults.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub kind: Kind,
}

/// What a fault does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A host is stopped for a while; its clock jumps when it goes on.
    Freeze(usize),
    /// A host is killed, and started again at the end.
    Kill(usize),
    /// A host is told to end, and started again at the end.
    Terminate(usize),
    /// A host is told to read its settings again.
    Reload(usize),
    /// The link of a host to the store is disturbed.
    StoreLink(usize, proxy::Mode),
    /// The link of all hosts to a backend server is disturbed.
    ServerLink(usize, proxy::Mode),
    /// The store misbehaves.
    Store(store::Fault),
    /// The store drops its history.
    Compact,
    /// A backend server misbehaves.
    Server(usize, engine::Behaviour),
    /// A new configuration, with or without the second key.
    Configure {
        /// Whether it holds the second key.
        has_second_key: bool,
    },
}

/// The faults of a seed in the order of their starts, over a time.
#[must_use]
pub fn faults(seed: u64, over: Duration) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed);
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.u64(0..2 * PAUSE_MS));
        if at >= over {
            return faults;
        }
        let kind = kind(&mut rng);
        let lasts = Duration::from_millis(rng.u64(100..MAX_FAULT_MS));
        // Some faults come in series.
        for repeat in 0..if rng.u8(..4) == 0 { 2 } else { 1 } {
            let at = at + Duration::from_millis(400) * repeat;
            let kind = kind.clone();
            faults.push(Fault { at, lasts, kind });
        }
    }
}

fn kind(rng: &mut Rng) -> Kind {
    let host = rng.usize(0..HOSTS);
    let server = rng.usize(0..ENGINES + SERVICES);
    match rng.u8(0..12) {
        0 => Kind::Freeze(host),
        1 | 2 => Kind::Kill(host),
        3 => Kind::Terminate(host),
        4 => Kind::Reload(host),
        5 | 6 => Kind::StoreLink(host, mode(rng)),
        7 => Kind::ServerLink(server, mode(rng)),
        8 => Kind::Store(*pick(
            rng,
            &[
                store::Fault::Silent,
                store::Fault::Busy,
                store::Fault::AnswersLost,
            ],
        )),
        9 => Kind::Compact,
        10 => Kind::Server(server, behaviour(rng)),
        _ => Kind::Configure {
            has_second_key: rng.bool(),
        },
    }
}

fn mode(rng: &mut Rng) -> proxy::Mode {
    let delay = Duration::from_millis(rng.u64(20..400));
    let modes = [
        proxy::Mode::Delay(delay),
        proxy::Mode::Reset,
        proxy::Mode::Silent,
        proxy::Mode::NoRequests,
        proxy::Mode::NoAnswers,
    ];
    *pick(rng, &modes)
}

fn behaviour(rng: &mut Rng) -> engine::Behaviour {
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
