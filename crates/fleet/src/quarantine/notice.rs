//! Evidence that hosts exchange.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::prompt::Segment;
use crate::quarantine::entry::Entry;
use crate::quarantine::record;
use crate::quarantine::record::Record;
use crate::tally::Key;

/// Evidence that a host sends to others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Parts on which engines may have crashed.
    pub suspected: Vec<Suspected>,
    /// Parts whose requests are rejected.
    pub quarantined: Vec<Quarantined>,
    /// Suspected parts that turned out to be healthy.
    pub cleared: Vec<Segment>,
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
    partners: Vec<Segment>,
}

/// A quarantined part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The part.
    pub segment: Segment,
    age_ms: u32,
    partners: Vec<Segment>,
}

impl Suspected {
    /// The evidence of a record. Ages are relative to `now`.
    #[must_use]
    pub fn new(segment: Segment, record: &Record, now: Duration) -> Self {
        let crashes = record.crashes.iter().map(|crash| Crash {
            server: crash.server,
            age_ms: age_ms(crash.at, now),
            partners: crash.partners.clone(),
        });
        Self {
            segment,
            is_shared: record.is_shared,
            crashes: crashes.collect(),
        }
    }

    /// The crashes, by the clock of the receiver.
    pub fn crashes(self, now: Duration) -> impl Iterator<Item = record::Crash> {
        let crashes = self.crashes.into_iter().take(record::MAX_CRASHES);
        crashes.map(move |crash| record::Crash {
            server: crash.server,
            at: at(crash.age_ms, now),
            partners: crash.partners,
        })
    }
}

impl Quarantined {
    /// The entry of a part. Its age is relative to `now`.
    #[must_use]
    pub fn new(segment: Segment, entry: &Entry, now: Duration) -> Self {
        Self {
            segment,
            age_ms: age_ms(entry.since, now),
            partners: entry.partners.clone(),
        }
    }

    /// The entry, by the clock of the receiver.
    #[must_use]
    pub fn entry(self, now: Duration) -> Entry {
        Entry {
            since: at(self.age_ms, now),
            partners: self.partners,
        }
    }
}

fn age_ms(at: Duration, now: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn at(age_ms: u32, now: Duration) -> Duration {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}
