//! Evidence against a part of a prompt.

use core::time::Duration;

use crate::quarantine::entry::Entry;
use crate::quarantine::suspects::Memo;
use crate::quarantine::suspects::Suspects;
use crate::tally::Key;

/// Moments at which engines must have crashed before a part is quarantined.
const CRASH_THRESHOLD: usize = 3;

/// Minimum time between two crashes that count separately. Engines of one rack that lose power together are one crash.
const CRASH_SEPARATION: Duration = Duration::from_millis(20);

/// Maximum number of crashes that are kept for a part; further ones change nothing.
pub const MAX_CRASHES: usize = 8;

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
    /// Parts of these requests that may be the cause, this one among them. Some may have turned out to be healthy since.
    pub suspects: Suspects,
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
    pub fn add(&mut self, crash: Crash, unions: &mut Memo) -> bool {
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.coincides_with(&crash))
        {
            // Any part of the requests at this moment may be the cause.
            let union = unions.get(&known.suspects, &crash.suspects);
            let is_new = !union.is_clone_of(&known.suspects);
            known.suspects = union;
            return is_new && self.entry.is_none();
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
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
        let has_more = other.crashes.len() > self.crashes.len();
        if !other.is_shared || (self.is_shared && !has_more) {
            return false;
        }
        let coincides = |crash: &&Crash| {
            let mut crashes = other.crashes.iter();
            crashes.any(|known| known.coincides_with(crash))
        };
        let common = self.crashes.iter().filter(coincides).count();
        let is_contained =
            common > 0 && common == self.crashes.len() && other.crashes.len() > common;
        let needed = self.crashes.len().max(CRASH_THRESHOLD);
        let is_own = !self.is_shared && common + 1 >= needed;
        is_contained || is_own
    }

    /// Quarantines the part because of its crashes.
    pub fn quarantine(&mut self, now: Duration, intersections: &mut Memo) {
        let sets = self.crashes.iter().map(|crash| crash.suspects.clone());
        let common = sets.reduce(|common, set| intersections.get(&common, &set));
        if let Some(suspects) = common {
            let entry = Entry {
                since: now,
                suspects,
            };
            self.insert(entry, intersections);
        }
    }

    /// Quarantines the part, or adds another entry for it. Returns whether it changes.
    pub fn insert(&mut self, entry: Entry, intersections: &mut Memo) -> bool {
        let Some(known) = &mut self.entry else {
            self.entry = Some(entry);
            return true;
        };
        known.merge(&entry, intersections)
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
