//! Demand for services by urgency, as hosts tell it to each other.
//!
//! Each host sees a small part of the requests. The sum over all hosts shows how much of the capacity of a service the more
//! urgent requests need, so that all hosts let less urgent ones wait together.

pub mod meter;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::tally;
use crate::tally::Key;
use agatemill_core::Urgency;
use agatemill_core::id;

pub use meter::Meter;

/// Requests of one urgency for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Key of the service.
    pub service: Key,
    /// Urgency of the requests.
    pub urgency: Urgency,
}

/// Demand for services, summed over some hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    rows: BTreeMap<Subject, Row>,
}

/// Demand of one urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Tokens a second of the requests that arrive.
    pub offered: u32,
    /// Tokens a second of the requests that are sent to servers.
    pub sent: u32,
    /// Tokens a second of the requests that end.
    pub ended: u32,
    /// Tokens of the requests that wait.
    pub waiting: u32,
    /// Tokens of the requests in progress.
    pub held: u32,
}

impl Subject {
    /// Requests of an urgency for a service.
    #[must_use]
    pub fn new(service: &id::Service, urgency: Urgency) -> Self {
        Self {
            service: service.into(),
            urgency,
        }
    }
}

impl Row {
    fn add(&mut self, other: Self) {
        self.offered = self.offered.saturating_add(other.offered);
        self.sent = self.sent.saturating_add(other.sent);
        self.ended = self.ended.saturating_add(other.ended);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.held = self.held.saturating_add(other.held);
    }
}

impl Demand {
    /// Demand of one urgency for a service.
    #[must_use]
    pub fn of(&self, subject: Subject) -> Row {
        self.rows.get(&subject).copied().unwrap_or_default()
    }

    /// Demand of all requests for a service that are more urgent.
    #[must_use]
    pub fn before(&self, subject: Subject) -> Row {
        self.sum(subject.service, |urgency| urgency < subject.urgency)
    }

    /// Demand of all requests for a service.
    #[must_use]
    pub fn all(&self, service: Key) -> Row {
        self.sum(service, |_| true)
    }

    /// Number of subjects.
    #[must_use]
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Adds the demand of other hosts. Subjects beyond the limit on rows of a tally are left out.
    pub fn add(&mut self, other: &Self) {
        for (subject, row) in &other.rows {
            if self.rows.len() >= tally::MAX_ROWS && !self.rows.contains_key(subject) {
                continue;
            }
            self.rows.entry(*subject).or_default().add(*row);
        }
    }

    /// Sets the demand of one urgency; demand of zero takes no space.
    pub fn set(&mut self, subject: Subject, row: Row) {
        if row == Row::default() {
            self.rows.remove(&subject);
        } else {
            self.rows.insert(subject, row);
        }
    }

    fn sum(&self, service: Key, is_included: impl Fn(Urgency) -> bool) -> Row {
        let mut sum = Row::default();
        for (subject, row) in &self.rows {
            if subject.service == service && is_included(subject.urgency) {
                sum.add(*row);
            }
        }
        sum
    }
}
