//! Quarantine for parts of prompts on which engines crash.
//!
//! An engine that crashes takes all its requests with it, so a crash alone does not tell which request caused it. A
//! part of a prompt is quarantined after engines crashed at several moments while they began to answer requests with
//! it, provided that no host has seen a request with it outlive its first event. A popular part is in flight at most
//! crashes, but it also survives often, and one survival clears it. Parts that come together crash engines together;
//! a request with only some of them is still sent, one at a time, until it shows which of them are healthy.
//!
//! Hosts exchange their evidence ([`notice`]): each sees only its own requests, and a part comes to any of them.

pub mod entry;
pub mod group;
pub mod notice;
pub mod record;
pub mod suspects;

use core::cmp::Reverse;
use core::time::Duration;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::prompt::Prompt;
use crate::prompt::Segment;
use crate::quarantine::entry::Entry;
use crate::quarantine::group::Group;
use crate::quarantine::notice::Notice;
use crate::quarantine::record::Crash;
use crate::quarantine::record::Record;
use crate::quarantine::suspects::Memo;
use crate::quarantine::suspects::Suspects;
use crate::recent::Recent;
use crate::tally::Key;

/// Maximum number of suspected and quarantined parts: more than a prompt has whose parts fit into the head of a request.
const MAX_RECORDS: usize = 2_048;

/// Number of parts that are remembered as healthy, in each of two generations.
const MAX_HEALTHY: usize = 16_384;

/// Lifetime of a generation of healthy parts.
const HEALTHY_LIFETIME: Duration = Duration::from_mins(10);

/// Time for which a host tells the others that a suspected part is healthy. Spans several notices, since some are lost.
const CLEARANCE: Duration = Duration::from_secs(3);

/// Suspected and quarantined parts of prompts, as known to one host.
#[derive(Clone, Debug)]
pub struct Quarantine {
    records: HashMap<Segment, Record>,
    /// Parts of requests that survived. They have no record.
    healthy: Recent<Segment>,
    /// Healthy parts that another host may suspect, with the time until which it is told.
    cleared: HashMap<Segment, Duration>,
    /// Suspected parts of requests of this host that have not survived yet.
    probing: HashSet<Segment>,
}

/// Whether a request may be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No part is suspected.
    Clear,
    /// These parts are suspected; the request decides about them. [`Quarantine::end_probe`] must follow.
    Probe(Vec<Segment>),
    /// Another request of this host decides about a suspected part first.
    Busy,
    /// The part is quarantined for some more time.
    Quarantined(Segment, Duration),
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            healthy: Recent::new(MAX_HEALTHY, HEALTHY_LIFETIME),
            cleared: HashMap::new(),
            probing: HashSet::new(),
        }
    }
}

impl Quarantine {
    /// Decides whether a request with this prompt may be sent. Of the requests with a suspected part, a host sends one
    /// at a time.
    pub fn admit(&mut self, prompt: &Prompt, now: Duration) -> Admission {
        if self.records.is_empty() {
            return Admission::Clear;
        }
        self.expire(now);
        let mut suspected = Vec::new();
        let mut checked: Option<(&Suspects, bool)> = None;
        let parts: HashSet<Segment> = prompt.segments().collect();
        let is_there =
            |segment: Segment| parts.contains(&segment) || self.healthy.contains(&segment, now);
        for segment in prompt.segments() {
            let Some(record) = self.records.get(&segment) else {
                continue;
            };
            if let Some(entry) = &record.entry {
                let known = checked.filter(|(set, _)| set.is_clone_of(&entry.suspects));
                // No part that may be the cause instead is missing.
                let is_covered =
                    known.map_or_else(|| entry.suspects.iter().all(is_there), |(_, result)| result);
                if is_covered {
                    let left = entry.end().saturating_sub(now);
                    return Admission::Quarantined(segment, left);
                }
                checked = Some((&entry.suspects, false));
            }
            suspected.push(segment);
        }
        if suspected.is_empty() {
            return Admission::Clear;
        }
        if suspected
            .iter()
            .any(|segment| self.probing.contains(segment))
        {
            return Admission::Busy;
        }
        self.probing.extend(&suspected);
        Admission::Probe(suspected)
    }

    /// Ends the probe of parts, with or without a result.
    pub fn end_probe(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.probing.remove(segment);
        }
    }

    /// Records that a server crashed while it began to answer a request with this prompt. Returns whether other hosts
    /// should be told.
    pub fn record_crash(&mut self, prompt: &Prompt, server: Key, now: Duration) -> bool {
        let healthy = &self.healthy;
        let suspects = prompt
            .segments()
            .filter(|segment| !healthy.contains(segment, now));
        let suspects: Suspects = suspects.collect();
        let mut unions = Memo::new(Suspects::union);
        let mut is_news = false;
        for segment in suspects.iter() {
            let crash = Crash {
                server,
                at: now,
                suspects: suspects.clone(),
            };
            let is_shared = prompt.own != Some(segment);
            is_news |= self.add(segment, crash, is_shared, &mut unions, now);
        }
        let suspects: Vec<Segment> = suspects.iter().collect();
        self.update(&suspects, now);
        self.expire(now);
        is_news
    }

    /// Records that a request with this prompt outlived its first event. Returns whether other hosts should be told.
    pub fn record_survival(&mut self, prompt: &Prompt, now: Duration) -> bool {
        let mut is_news = false;
        for segment in &prompt.shared {
            is_news |= self.clear(*segment, now);
        }
        // No other request has this part, so that it is not worth remembering unless it is suspected.
        if let Some(own) = prompt.own
            && self.records.contains_key(&own)
        {
            is_news |= self.clear(own, now);
        }
        is_news
    }

    /// Quarantines a part that another process has quarantined. Returns whether other hosts should be told.
    pub fn insert(&mut self, segment: Segment, entry: Entry, now: Duration) -> bool {
        if self.is_cleared(segment, now) || self.is_explained(segment) {
            return false;
        }
        let mut intersections = Memo::new(Suspects::intersection);
        let record = self.records.entry(segment).or_default();
        record.insert(entry, &mut intersections)
    }

    /// Quarantined parts, the latest first; of those that came together at all crashes, one.
    #[must_use]
    pub fn groups(&self, now: Duration) -> Vec<Group> {
        let records = self.records.iter();
        let entries =
            records.filter_map(|(segment, record)| Some((*segment, record.entry.as_ref()?)));
        let mut entries: Vec<(Segment, &Entry)> = entries.collect();
        entries.sort_by_key(|(segment, entry)| (Reverse(entry.since), *segment));
        let mut listed: Vec<&Suspects> = Vec::new();
        let mut groups = Vec::new();
        for (segment, entry) in entries {
            if listed.iter().any(|set| set.is_clone_of(&entry.suspects)) {
                continue;
            }
            listed.push(&entry.suspects);
            let partners = entry.suspects.iter();
            let partners =
                partners.filter(|other| *other != segment && !self.healthy.contains(other, now));
            groups.push(Group {
                segment,
                partners: partners.collect(),
                since: entry.since,
            });
        }
        groups
    }

    /// Evidence for the other hosts: the parts that were quarantined last, and the suspected ones with the most and the latest
    /// crashes.
    pub fn notice(&mut self, now: Duration) -> Notice {
        self.expire(now);
        let mut notice = Notice::default();
        notice.list_quarantined(self.groups(now), now);
        notice.list_cleared(self.cleared.keys().copied());
        let records = self
            .records
            .iter()
            .map(|(segment, record)| (*segment, record));
        let suspected =
            records.filter(|(_, record)| record.entry.is_none() && record.concerns_others());
        let mut suspected: Vec<_> = suspected.collect();
        suspected.sort_by_key(|(segment, record)| {
            Reverse((record.crashes.len(), record.last_crash(), *segment))
        });
        let is_healthy = |segment| self.healthy.contains(&segment, now);
        notice.list_suspected(suspected.into_iter(), is_healthy, now);
        notice
    }

    /// Adds the evidence of another host. Returns whether other hosts should be told.
    pub fn receive(&mut self, mut notice: Notice, now: Duration) -> bool {
        let mut is_news = false;
        let rows = notice.take_suspected(now);
        for segment in notice.cleared {
            if self.records.contains_key(&segment) || !self.healthy.contains(&segment, now) {
                is_news |= self.clear(segment, now);
            }
        }
        let mut suspected = Vec::new();
        let mut unions = Memo::new(Suspects::union);
        for (row, crashes) in rows {
            let (segment, is_shared) = (row.segment, row.is_shared);
            for crash in crashes {
                is_news |= self.add(segment, crash, is_shared, &mut unions, now);
            }
            suspected.push(segment);
        }
        self.update(&suspected, now);
        for row in notice.quarantined {
            is_news |= self.insert(row.segment, row.entry(now), now);
        }
        self.expire(now);
        is_news
    }

    /// Adds a crash to the evidence against a part, unless the part is healthy. Returns whether it was not known.
    fn add(
        &mut self,
        segment: Segment,
        crash: Crash,
        is_shared: bool,
        unions: &mut Memo,
        now: Duration,
    ) -> bool {
        if self.is_cleared(segment, now) {
            return false;
        }
        let record = self.records.entry(segment).or_default();
        record.is_shared |= is_shared;
        record.add(crash, unions) && record.concerns_others()
    }

    /// Quarantines the suspected parts whose crashes suffice, and releases those whose crashes another part explains.
    fn update(&mut self, suspects: &[Segment], now: Duration) {
        // Most parts are shared and were there at all crashes, so that no other one explains theirs.
        let most = self.most_crashes();
        let may_be_explained = |record: &Record| !record.is_shared || record.crashes.len() < most;
        let records = self.records.iter();
        let quarantined =
            records.filter(|(_, record)| record.entry.is_some() && may_be_explained(record));
        let quarantined: Vec<Segment> = quarantined.map(|(segment, _)| *segment).collect();
        for segment in quarantined {
            if self.is_explained(segment)
                && let Some(record) = self.records.get_mut(&segment)
            {
                record.entry = None;
            }
        }
        let mut intersections = Memo::new(Suspects::intersection);
        for segment in suspects {
            let Some(record) = self.records.get(segment) else {
                continue;
            };
            if !record.has_enough() || (may_be_explained(record) && self.is_explained(*segment)) {
                continue;
            }
            if let Some(record) = self.records.get_mut(segment) {
                record.quarantine(now, &mut intersections);
            }
        }
    }

    /// Whether another part explains the crashes of a part.
    fn is_explained(&self, segment: Segment) -> bool {
        let Some(record) = self.records.get(&segment) else {
            return false;
        };
        let mut others = self.records.iter().filter(|(other, _)| **other != segment);
        others.any(|(_, other)| record.is_explained_by(other))
    }

    /// Largest number of crashes of a part that several requests may have.
    fn most_crashes(&self) -> usize {
        let shared = self.records.values().filter(|record| record.is_shared);
        shared.map(|record| record.crashes.len()).max().unwrap_or(0)
    }

    /// Whether a suspected part is known to be healthy; other hosts are then told.
    fn is_cleared(&mut self, segment: Segment, now: Duration) -> bool {
        let is_healthy = self.healthy.contains(&segment, now);
        if is_healthy {
            self.cleared.insert(segment, now + CLEARANCE);
        }
        is_healthy
    }

    fn clear(&mut self, segment: Segment, now: Duration) -> bool {
        self.healthy.insert(segment, now);
        let record = self.records.remove(&segment);
        let was_suspected = record.is_some_and(|record| record.concerns_others());
        if was_suspected {
            self.cleared.insert(segment, now + CLEARANCE);
        }
        was_suspected
    }

    fn expire(&mut self, now: Duration) {
        self.cleared.retain(|_, until| *until > now);
        self.records.retain(|_, record| record.end() > now);
        while self.records.len() > MAX_RECORDS {
            let first = self
                .records
                .iter()
                .min_by_key(|(segment, record)| (record.entry.is_some(), record.end(), **segment));
            let Some(segment) = first.map(|(segment, _)| *segment) else {
                break;
            };
            self.records.remove(&segment);
        }
    }
}
