//! Evidence against a part of a prompt.

use core::time::Duration;

use crate::prompt::Segment;
use crate::quarantine::verdict::Verdict;
use crate::tally::Key;

/// Moments at which engines must have crashed before a part is condemned.
const CRASHES_TO_CONDEMN: usize = 3;

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
    /// The verdict.
    pub verdict: Option<Verdict>,
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

impl Record {
    /// Adds a crash. Returns whether it changes the evidence.
    pub fn add(&mut self, mut crash: Crash, now: Duration) -> bool {
        let coincides = |known: &&mut Crash| {
            let gap = known.at.abs_diff(crash.at);
            gap < CRASH_SEPARATION || (known.server == crash.server && gap < SAME_CRASH_TIME)
        };
        if let Some(known) = self.crashes.iter_mut().find(coincides) {
            // Any part of the requests at this moment may be the cause.
            let is_new = |partner: &Segment| !known.partners.contains(partner);
            let new: Vec<Segment> = crash.partners.into_iter().filter(is_new).collect();
            known.partners.extend(&new);
            known.partners.truncate(MAX_PARTNERS);
            return !new.is_empty() && self.verdict.is_none();
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        crash.partners.truncate(MAX_PARTNERS);
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() >= CRASHES_TO_CONDEMN {
            let partners = self.common_partners();
            self.condemn(Verdict {
                since: now,
                partners,
            });
        }
        true
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

    /// Condemns the part, or adds another verdict against it. Returns whether it changes.
    pub fn condemn(&mut self, verdict: Verdict) -> bool {
        let Some(known) = &mut self.verdict else {
            self.verdict = Some(verdict);
            return true;
        };
        known.merge(&verdict)
    }

    /// Removes a part that turned out to be sound from those that may be the cause.
    pub fn remove_partner(&mut self, segment: Segment) {
        let lists = self.crashes.iter_mut().map(|crash| &mut crash.partners);
        let verdict = self.verdict.iter_mut().map(|verdict| &mut verdict.partners);
        for partners in lists.chain(verdict) {
            partners.retain(|partner| *partner != segment);
        }
    }

    /// Whether other hosts are told. After one crash of a part that belongs to one request alone they are not: a crash has
    /// dozens of these, and the request is sent again by the same host first.
    #[must_use]
    pub fn concerns_others(&self) -> bool {
        self.is_shared || self.crashes.len() > 1 || self.verdict.is_some()
    }

    /// When the last crash happened.
    #[must_use]
    pub fn last_crash(&self) -> Duration {
        self.crashes.last().map_or(Duration::ZERO, |crash| crash.at)
    }

    /// When the record is dropped.
    #[must_use]
    pub fn end(&self) -> Duration {
        match &self.verdict {
            Some(verdict) => verdict.end(),
            None => self.last_crash() + SUSPICION,
        }
    }
}
