//! Backend servers that asked this host for no requests for a while.

pub mod wait;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::LogLimit;
use crate::Server;
use crate::tally::Key;

pub use wait::Wait;

/// Maximum number of servers that are kept. Beyond it, the one whose time ends first is dropped.
const MAX_SERVERS: usize = 4_096;

/// Largest share of a time that is added at random to the `Retry-After` of callers, so that they do not return together.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// Resolution of the `Retry-After` of callers. Added to it, so that rounding does not bring them back too early.
const RETRY_RESOLUTION: Duration = Duration::from_millis(10);

/// Longest time after the end of a server's time within which the requests that wait for it begin.
const RESUME_SPREAD: Duration = Duration::from_millis(200);

/// Extension of a running time from which it is reported again; each of several answers in a row extends it a little.
const REPORTED_EXTENSION: Duration = Duration::from_secs(1);

/// Backend servers that asked this host for no requests for a while.
///
/// A time holds for one incarnation of a server and until its end, also if the server answers other requests meanwhile.
/// Times are on a clock that runs while the machine is suspended, since the server's time passes then too.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    /// The incarnations of servers by their keys and starts. The starts do not tell which one is the latest, since the clock
    /// of a machine may be set back.
    ///
    /// Invariant: at most [`MAX_SERVERS`] entries.
    servers: HashMap<(Key, u64), Entry>,
    invalid_reports: LogLimit,
}

/// An incarnation and its time.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Its address.
    address: SocketAddrV4,
    /// When requests may be sent again.
    end: Duration,
}

impl Backoff {
    /// Records that a server asked for no requests for `wait`. A shorter time does not end a running one sooner.
    /// Returns whether this is worth a report: a time begins, or becomes much longer.
    pub fn record(&mut self, server: &Server, wait: Wait, now: Duration) -> bool {
        let left = self.left(server, now);
        if wait.time() <= left.unwrap_or_default() {
            return false;
        }
        self.servers.retain(|_, entry| entry.end > now);
        let incarnation = (server.key, server.born_ms);
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&incarnation) {
            let first = self.servers.iter().min_by_key(|(_, entry)| entry.end);
            if let Some(first) = first.map(|(first, _)| *first) {
                self.servers.remove(&first);
            }
        }
        let entry = Entry {
            address: server.address,
            end: now + wait.time(),
        };
        self.servers.insert(incarnation, entry);
        left.is_none_or(|left| wait.time() >= left + REPORTED_EXTENSION)
    }

    /// Whether to report a text that is not a wait, which bounds the number of such reports.
    pub fn reports_invalid(&mut self, now: Duration) -> bool {
        self.invalid_reports.admits(now)
    }

    /// Time until requests may be sent to a server again; `None` if they may be sent now.
    #[must_use]
    pub fn left(&self, server: &Server, now: Duration) -> Option<Duration> {
        let entry = self.servers.get(&(server.key, server.born_ms))?;
        let left = entry.end.checked_sub(now)?;
        (entry.address == server.address && !left.is_zero()).then_some(left)
    }

    /// Time until the first of the servers may be used again, if there are any and none of them may be used now.
    #[must_use]
    pub fn common_wait<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a Server>,
        now: Duration,
    ) -> Option<Duration> {
        let waits = servers.into_iter().map(|server| self.left(server, now));
        let waits: Option<Vec<Duration>> = waits.collect();
        waits?.into_iter().min()
    }

    /// Time until the first of those servers that may not be used now may be used again.
    #[must_use]
    pub fn shortest_wait<'a>(
        &self,
        servers: impl IntoIterator<Item = &'a Server>,
        now: Duration,
    ) -> Option<Duration> {
        let waits = servers.into_iter();
        waits.filter_map(|server| self.left(server, now)).min()
    }
}

/// `Retry-After` of callers whose servers ask for no requests for `wait`: not below it. `random` is from 0 to 1.
#[must_use]
pub fn retry_after(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(1.0 + RETRY_JITTER_SHARE * random) + RETRY_RESOLUTION
}

/// Time after which a request begins that waits for a server that asks for no requests for `wait`: not below it, and
/// above `limit` only if `wait` is. Requests with different values of `random`, from 0 to 1, begin at different times.
#[must_use]
pub fn resume_delay(wait: Duration, limit: Duration, random: f64) -> Duration {
    let spread = RESUME_SPREAD.min(limit.saturating_sub(wait));
    wait + spread.mul_f64(random)
}
