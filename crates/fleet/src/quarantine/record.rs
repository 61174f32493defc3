//! Evidence against a part of a prompt.

use core::time::Duration;

use crate::prompt::Segment;
use crate::quarantine::entry::Entry;
use crate::tally::Key;

/// Moments at which engines must have crashed before a part is quarantined.
const CRASH_THRESHOLD: usize = 3;

/// Minimum time between two crashes that count separately. Engines of one rack that lose power together are one crash.
const CRASH_SEPARATION: Duration = Duration::from_millis(20);

/// Maximum number of crashes that are kept for a part; further ones change nothing.
pub const MAX_CRASHES: usize = 8;

/// Maximum number of partners that are kept for a crash; bounds the size of notices.
const MAX_PARTNERS: usize = 24;

/// Time within which reports of a crash of one server are about the same crash. A server takes longer to restart.
const SAME_CRASH_TIME: Duration = Duration::from_secs(2);

/// Time after the last crash for which a part is suspected.
const SUSPICION: Duration = Duration::from_mins(1);

/// Evidence against one part.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Crashes in order of time.
    pub crashes: Vec<Crash>,
    /// Set once the part is quarantined.
    pub entry: Option<Entry>,
    /// Whether several requests may have the part.
    pub is_shared: bool,
}

/// A crash of a server that began to answer requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The server.
    pub server: Key,
    /// When it crashed.
    pub at: Duration,
    /// Other suspected parts of these requests.
    pub partners: Vec<Segment>,
}

impl Crash {
    /// Whether another report is about the same crash, or about engines that ended together.
    fn coincides_with(&self, other: &Self) -> bool {
        let gap = self.at.abs_diff(other.at);
        gap < CRASH_SEPARATION || (self.server == other.server && gap < SAME_CRASH_TIME)
    }
}

impl Record {
    /// Adds a crash. Returns whether it changes the evidence.
    pub fn add(&mut self, mut crash: Crash) -> bool {
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.coincides_with(&crash))
        {
            // Any part of the requests at this moment may be the cause.
            let is_new = |partner: &Segment| !known.partners.contains(partner);
            let new: Vec<Segment> = crash.partners.into_iter().filter(is_new).collect();
            known.partners.extend(&new);
            known.partners.truncate(MAX_PARTNERS);
            return !new.is_empty() && self.entry.is_none();
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        crash.partners.truncate(MAX_PARTNERS);
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        true
    }

    /// Whether there are enough crashes to quarantine the part.
    #[must_use]
    pub fn has_enough(&self) -> bool {
        self.crashes.len() >= CRASH_THRESHOLD
    }

    /// Whether another part explains the crashes. A part that several requests share does if it was there at more crashes,
    /// these among them, or at all but one of those of a part that belongs to a single request.
    #[must_use]
    pub fn is_explained_by(&self, other: &Self) -> bool {
        let coincides = |crash: &&Crash| {
            let mut crashes = other.crashes.iter();
            crashes.any(|known| known.coincides_with(crash))
        };
        let common = self.crashes.iter().filter(coincides).count();
        let is_contained =
            common > 0 && common == self.crashes.len() && other.crashes.len() > common;
        let needed = self.crashes.len().max(CRASH_THRESHOLD);
        let is_own = !self.is_shared && common + 1 >= needed;
        other.is_shared && (is_contained || is_own)
    }

    /// Quarantines the part because of its crashes.
    pub fn quarantine(&mut self, now: Duration) {
        let partners = self.common_partners();
        self.insert(Entry {
            since: now,
            partners,
        });
    }

    /// Parts that the requests had at every crash.
    fn common_partners(&self) -> Vec<Segment> {
        let Some((first, others)) = self.crashes.split_first() else {
            return Vec::new();
        };
        let is_common =
            |partner: &&Segment| others.iter().all(|crash| crash.partners.contains(partner));
        first.partners.iter().filter(is_common).copied().collect()
    }

    /// Quarantines the part, or adds another entry for it. Returns whether it changes.
    pub fn insert(&mut self, entry: Entry) -> bool {
        let Some(known) = &mut self.entry else {
            self.entry = Some(entry);
            return true;
        };
        known.merge(&entry)
    }

    /// Removes a part that turned out to be healthy from those that may be the cause.
    pub fn remove_partner(&mut self, segment: Segment) {
        let lists = self.crashes.iter_mut().map(|crash| &mut crash.partners);
        let entry = self.entry.iter_mut().map(|entry| &mut entry.partners);
        for partners in lists.chain(entry) {
            partners.retain(|partner| *partner != segment);
        }
    }

    /// Whether other hosts are told. After one crash of a part that belongs to one request alone they are not: a crash has
    /// dozens of these, and the request is sent again by the same host first.
    #[must_use]
    pub fn concerns_others(&self) -> bool {
        self.is_shared || self.crashes.len() > 1 || self.entry.is_some()
    }

    /// When the last crash happened.
    #[must_use]
    pub fn last_crash(&self) -> Duration {
        self.crashes.last().map_or(Duration::ZERO, |crash| crash.at)
    }

    /// When the record is dropped.
    #[must_use]
    pub fn end(&self) -> Duration {
        match &self.entry {
            Some(entry) => entry.end(),
            None => self.last_crash() + SUSPICION,
        }
    }
}
