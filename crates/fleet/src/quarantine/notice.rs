//! Evidence that hosts exchange.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::prompt::Segment;
use crate::quarantine::entry::Entry;
use crate::quarantine::group::Group;
use crate::quarantine::record;
use crate::quarantine::record::Record;
use crate::quarantine::suspects::Suspects;
use crate::tally::Key;

/// Maximum number of rows of suspected and of quarantined parts. A crash makes dozens of healthy parts suspected for a moment.
const MAX_ROWS: usize = 64;

/// Maximum number of parts in the sets of suspects, in the lists of partners and in that of healthy parts, of up to 10 bytes
/// each. The notice shares a datagram with the load report.
const MAX_SUSPECTS: usize = 2_000;
const MAX_PARTNERS: usize = 1_000;
const MAX_CLEARED: usize = 500;

/// Evidence that a host sends to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Parts on which engines may have crashed.
    pub suspected: Vec<Suspected>,
    /// Parts whose requests are rejected.
    pub quarantined: Vec<Quarantined>,
    /// Suspected parts that turned out to be healthy.
    pub cleared: Vec<Segment>,
    /// Suspects of the crashes, each set once. The parts of a prompt have the same.
    suspects: Vec<Vec<Segment>>,
}

/// A suspected part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspected {
    /// The part.
    pub segment: Segment,
    /// Whether several requests may have it.
    pub is_shared: bool,
    crashes: Vec<Crash>,
}

/// A crash of a server that began to answer requests with the part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Crash {
    server: Key,
    age_ms: u32,
    /// Index of the set of suspects in the notice.
    suspects: u32,
}

/// A quarantined part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The part.
    pub segment: Segment,
    age_ms: u32,
    partners: Vec<Segment>,
}

impl Notice {
    /// Lists suspected parts, the first ones if there are too many. Ages are relative to `now`.
    pub fn list_suspected<'a>(
        &mut self,
        records: impl Iterator<Item = (Segment, &'a Record)>,
        is_healthy: impl Fn(Segment) -> bool,
        now: Duration,
    ) {
        let mut listed: Vec<&Suspects> = Vec::new();
        let mut left = MAX_SUSPECTS;
        for (segment, record) in records {
            if self.suspected.len() >= MAX_ROWS {
                return;
            }
            let mut added: Vec<&Suspects> = Vec::new();
            let mut crashes = Vec::new();
            for crash in &record.crashes {
                let sets = listed.iter().chain(&added);
                let known = sets
                    .clone()
                    .position(|set| set.is_clone_of(&crash.suspects));
                let index = known.unwrap_or(listed.len() + added.len());
                if known.is_none() {
                    added.push(&crash.suspects);
                }
                crashes.push(Crash {
                    server: crash.server,
                    age_ms: age_ms(crash.at, now),
                    suspects: u32::try_from(index).unwrap_or(u32::MAX),
                });
            }
            let sets = added.iter().map(|set| {
                let suspects = set.iter().filter(|other| !is_healthy(*other));
                suspects.collect::<Vec<Segment>>()
            });
            let sets: Vec<Vec<Segment>> = sets.collect();
            let Some(rest) = left.checked_sub(sets.iter().map(Vec::len).sum()) else {
                continue;
            };
            left = rest;
            listed.append(&mut added);
            self.suspects.extend(sets);
            self.suspected.push(Suspected {
                segment,
                is_shared: record.is_shared,
                crashes,
            });
        }
    }

    /// Lists quarantined parts, the first ones if there are too many. Ages are relative to `now`.
    pub fn list_quarantined(&mut self, groups: Vec<Group>, now: Duration) {
        let mut left = MAX_PARTNERS;
        for group in groups {
            if self.quarantined.len() >= MAX_ROWS {
                return;
            }
            if let Some(rest) = left.checked_sub(group.partners.len()) {
                left = rest;
                let row = Quarantined {
                    segment: group.segment,
                    age_ms: age_ms(group.since, now),
                    partners: group.partners,
                };
                self.quarantined.push(row);
            }
        }
    }

    /// Lists parts that turned out to be healthy, the first ones if there are too many.
    pub fn list_cleared(&mut self, segments: impl Iterator<Item = Segment>) {
        self.cleared.extend(segments.take(MAX_CLEARED));
    }

    /// Takes the suspected parts with their crashes, by the clock of the receiver. Sets of suspects that are missing count
    /// as empty.
    pub fn take_suspected(&mut self, now: Duration) -> Vec<(Suspected, Vec<record::Crash>)> {
        let sets = core::mem::take(&mut self.suspects);
        let sets: Vec<Suspects> = sets.into_iter().map(Suspects::from_iter).collect();
        let set = |index: u32| {
            let set = usize::try_from(index)
                .ok()
                .and_then(|index| sets.get(index));
            set.cloned().unwrap_or_else(|| Suspects::from_iter([]))
        };
        let rows = core::mem::take(&mut self.suspected).into_iter();
        let rows = rows.map(|row| {
            let crashes = row.crashes.iter().take(record::MAX_CRASHES);
            let crashes = crashes.map(|crash| record::Crash {
                server: crash.server,
                at: at(crash.age_ms, now),
                suspects: set(crash.suspects),
            });
            let crashes = crashes.collect();
            (row, crashes)
        });
        rows.collect()
    }
}

impl Quarantined {
    /// The entry, by the clock of the receiver.
    #[must_use]
    pub fn entry(&self, now: Duration) -> Entry {
        Entry::new(self.segment, &self.partners, at(self.age_ms, now))
    }
}

fn age_ms(at: Duration, now: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn at(age_ms: u32, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}
