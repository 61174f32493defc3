//! What is played, and what happened.

use core::time::Duration;

use agatemill_fleet::admission;

const DEADLINE: Duration = Duration::from_secs(20);

/// What is played.
#[derive(Clone, Copy)]
pub struct Script {
    pub hosts: usize,
    /// `None` lets in all as far as there is room.
    pub policy: Option<admission::Policy>,
    pub end_s: f64,
    /// Factors on the rates of the kinds.
    pub rates: fn(f64) -> [f64; 3],
    /// Share of the memory that is left.
    pub memory: fn(f64) -> f64,
    /// Whether the total of a zone includes another; without itself it has none.
    pub links: fn(f64, usize, usize) -> bool,
    pub is_up: fn(f64, usize) -> bool,
}

/// A request and what became of it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub kind: usize,
    pub organisation: usize,
    pub born: Duration,
    pub arrived: Duration,
    pub attempts: u32,
    /// The host of the last attempt.
    pub host: usize,
    pub admitted: Option<Duration>,
    pub is_preempted: bool,
    pub tokens: f64,
}

impl Request {
    /// Time until the caller gives up.
    pub fn left(&self, now: Duration) -> Duration {
        (self.born + DEADLINE).saturating_sub(now)
    }
}

/// A refusal.
#[allow(dead_code)] // Not every test binary uses all of it.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub kind: usize,
    pub at: Duration,
    pub waited: Duration,
    pub promised: Duration,
    pub left: Duration,
    /// Share of the memory in use.
    pub used: f64,
    /// Share of the memory that more urgent requests take a second.
    pub urgent: f64,
}
