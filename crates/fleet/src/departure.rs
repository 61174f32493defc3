//! Backend servers that have announced in a response that they leave.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

use crate::LogLimit;
use crate::Server;
use crate::server::Instance;
use crate::server::State;
use agatemill_core::id;

/// How long an instance is remembered that the platform does not list. Entries that expire while the store is away are
/// back within seconds of its return.
const RETENTION: Duration = Duration::from_mins(5);

/// Maximum number of characters of a rejected text that are kept.
const MAX_FOUND_CHARS: usize = 40;

/// Error for a text that is no announcement of a departure.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("a departure is announced with 1, found {found:?}")]
pub struct Invalid {
    /// The start of the rejected text.
    pub found: CompactString,
}

impl Invalid {
    /// Creates the error for a text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self {
            found: text.chars().take(MAX_FOUND_CHARS).collect(),
        }
    }
}

/// Instances of backend servers that have announced that they leave. They get no new requests as long as they live.
///
/// The platform may list an instance as ready for some time after the announcement, and its entry may expire and come
/// back. A restarted server is another instance, also under the same name.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// The instances of each server; not empty. Their starts do not tell which one is the latest, since the clock of a
    /// machine may be set back.
    instances: HashMap<id::Server, Vec<Departure>>,
    invalid_reports: LogLimit,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start of the instance.
    born_ms: u64,
    /// Since when the platform has not listed the instance; `None` while it does.
    unlisted_since: Option<Duration>,
}

impl Departures {
    /// Records the announcement of an instance; returns whether it is new.
    pub fn record(&mut self, instance: Instance) -> bool {
        let known = self.instances.entry(instance.server).or_default();
        let is_new = known.iter().all(|known| known.born_ms != instance.born_ms);
        if is_new {
            known.push(Departure {
                born_ms: instance.born_ms,
                unlisted_since: None,
            });
        }
        is_new
    }

    /// Whether new requests may be sent to a server: it is listed as ready and has not announced its departure.
    #[must_use]
    pub fn is_staying(&self, server: &Server) -> bool {
        let known = self.instances.get(&server.id);
        let has_announced = known.is_some_and(|known| {
            known
                .iter()
                .any(|departure| departure.born_ms == server.born_ms)
        });
        server.state == State::Ready && !has_announced
    }

    /// Whether some of the servers of a model leave and the others do not hold all of its `layers`.
    #[must_use]
    pub fn has_gap(&self, servers: &[Arc<Server>], layers: u32) -> bool {
        if servers.iter().all(|server| self.is_staying(server)) {
            return false;
        }
        let staying = servers.iter().filter(|server| self.is_staying(server));
        let mut held: Vec<(u32, u32)> = staying
            .filter_map(|server| server.layers)
            .map(|range| (range.start(), range.end()))
            .collect();
        held.sort_unstable();
        let covered = held.into_iter().fold(0, |covered, (start, end)| {
            if start <= covered {
                end.max(covered)
            } else {
                covered
            }
        });
        covered < layers
    }

    /// Forgets the instances that have been replaced by a later one, and those that have not been listed for some
    /// minutes. `listed` returns the start of the instance that is listed for a server.
    pub fn retain(&mut self, listed: impl Fn(&id::Server) -> Option<u64>, now: Duration) {
        self.instances.retain(|server, known| {
            let listed = listed(server);
            known.retain_mut(|departure| {
                if listed == Some(departure.born_ms) {
                    departure.unlisted_since = None;
                    return true;
                }
                let since = *departure.unlisted_since.get_or_insert(now);
                listed.is_none_or(|born_ms| born_ms < departure.born_ms) && now < since + RETENTION
            });
            !known.is_empty()
        });
    }

    /// Whether to report a text that is no announcement, which bounds the number of such reports.
    pub fn reports_invalid(&mut self, now: Duration) -> bool {
        self.invalid_reports.admits(now)
    }

    /// Number of instances that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.instances.values().map(Vec::len).sum()
    }

    /// Whether no instance is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }
}
