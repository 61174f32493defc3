//! Budget of requests that are sent once more.

use core::time::Duration;
use std::collections::VecDeque;

/// Parts into which the window is cut. The part that is not over counts besides, so that no window of exact
/// length holds repeats that are not counted.
const PARTS: u32 = 20;

/// Part of the allowance that hosts use. A process that was killed forgets what it has sent in the window,
/// and a host may know for a moment of fewer hosts than there are.
const USED: f64 = 0.5;

/// Hosts that share the free repeats at least, in the first window of a process.
const STARTING_HOSTS: usize = 32;

/// What all hosts together may send once more to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are free in each window, for all hosts together.
    pub base: f64,
    /// The window.
    pub window: Duration,
}

/// This host's part of the repeats that a service may get in any window.
///
/// The free repeats are split evenly among the hosts; the others are earned by this host's own requests.
/// A host that joins lowers the others' part within the time in which they learn of it.
#[derive(Clone, Debug)]
pub struct Budget {
    allowance: Allowance,
    /// When the budget was created.
    created: Duration,
    /// Counts of the parts of the window, oldest first.
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// Number of the part since the start of the process.
    number: u64,
    requests: u32,
    repeats: u32,
    /// Most hosts that shared the budget.
    hosts: usize,
}

impl Budget {
    /// Creates an unused budget. In its first window many hosts count as sharing it: a process that has just
    /// started does not know what it sent before, nor how many hosts have started with it.
    #[must_use]
    pub fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            allowance,
            created: now,
            parts: VecDeque::new(),
        }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        self.part(now).requests += 1;
    }

    /// Takes a repeat while `hosts` hosts share the budget; false when it is used up.
    #[must_use]
    pub fn take(&mut self, hosts: usize, now: Duration) -> bool {
        self.part(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        // Hosts that seem gone may only have lost their leases, so the most of the window count.
        let part = self.part(now);
        part.hosts = part.hosts.max(hosts);
        let hosts = self.parts.iter().map(|part| part.hosts).max();
        let is_first_window = now < self.created + self.allowance.window;
        let least = if is_first_window { STARTING_HOSTS } else { 1 };
        let hosts = u32::try_from(hosts.unwrap_or(1).max(least)).unwrap_or(u32::MAX);
        let free = self.allowance.base / f64::from(hosts);
        let earned = self.allowance.ratio * f64::from(requests);
        if f64::from(repeats) + 1.0 > (free + earned) * USED {
            return false;
        }
        self.part(now).repeats += 1;
        true
    }

    /// The part that holds `now`, after dropping the parts that have left the window.
    fn part(&mut self, now: Duration) -> &mut Part {
        let length = self.allowance.window / PARTS;
        let number = now.as_nanos() / length.as_nanos().max(1);
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        while let Some(oldest) = self.parts.front() {
            if oldest.number + u64::from(PARTS) >= number {
                break;
            }
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|last| last.number < number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
