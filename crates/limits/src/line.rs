//! Order of waiting requests: urgency, shares among organisations, deadline.

use core::ops::Bound;
use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;

use agatemill_core::Urgency;
use agatemill_core::id;

/// Virtual time of one request of weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1_000_000;

/// Identifies a request in a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Organisation that it belongs to; `None` for requests without a key, which share one turn.
    pub organisation: Option<id::Organisation>,
    /// Weight of the organisation. Invariant: at least 1.
    pub weight: u32,
    /// Urgency.
    pub urgency: Urgency,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Duration,
}

/// Order of a waiting request: urgency, then virtual start time, then deadline, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    /// Virtual start time in units of one millionth of a request of weight 1.
    start: u64,
    deadline: Duration,
    ticket: Ticket,
}

/// Waiting requests in the order in which they are served.
///
/// Of the requests of one urgency, that of the organisation with the least service relative to its weight comes first
/// (start-time fair queueing), so that an organisation with many requests does not delay the others. Service of one urgency does
/// not count for another.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Number of the next ticket.
    next_ticket: u64,
    ranks: BTreeMap<Rank, Ticket>,
    waiters: HashMap<Ticket, (Waiter, Rank)>,
    /// Urgencies with waiting requests.
    classes: BTreeMap<Urgency, Class>,
}

/// Requests of one urgency.
#[derive(Clone, Debug, Default)]
struct Class {
    /// Virtual time: the start time of the request that was served last.
    virtual_time: u64,
    /// Number of waiting requests.
    waiting: u32,
    flows: HashMap<Option<id::Organisation>, Flow>,
}

/// State of an organisation with waiting requests or recent service.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// Number of waiting requests.
    waiting: u32,
    /// Virtual finish time of the last request.
    finish: u64,
}

impl Waiter {
    /// Virtual time that its service takes.
    fn service_time(&self) -> u64 {
        VIRTUAL_TIME_UNIT / u64::from(self.weight.max(1))
    }
}

impl Line {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a request.
    pub fn join(&mut self, waiter: Waiter) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let class = self.classes.entry(waiter.urgency).or_default();
        class.waiting += 1;
        let flow = class.flows.entry(waiter.organisation.clone()).or_default();
        let start = flow.finish.max(class.virtual_time);
        flow.finish = start + waiter.service_time();
        flow.waiting += 1;
        let rank = Rank {
            urgency: waiter.urgency,
            start,
            deadline: waiter.deadline,
            ticket,
        };
        self.ranks.insert(rank, ticket);
        self.waiters.insert(ticket, (waiter, rank));
        ticket
    }

    /// The waiting requests, in order.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &Waiter)> {
        let tickets = self.ranks.values();
        tickets.map(|ticket| (*ticket, &self.waiters[ticket].0))
    }

    /// Number of waiting requests that are at least as urgent as `urgency`.
    #[must_use]
    pub fn ahead_of(&self, urgency: Urgency) -> usize {
        let ranks = self.ranks.keys();
        ranks.take_while(|rank| rank.urgency <= urgency).count()
    }

    /// The request that comes first after `ticket`, in order; the first of all if `ticket` is `None`.
    #[must_use]
    pub fn next_after(&self, ticket: Option<Ticket>) -> Option<Ticket> {
        let Some((_, rank)) = ticket.and_then(|ticket| self.waiters.get(&ticket)) else {
            return self.ranks.values().next().copied();
        };
        let after = (Bound::Excluded(*rank), Bound::Unbounded);
        self.ranks.range(after).next().map(|(_, ticket)| *ticket)
    }

    /// Removes a request that is served; `None` if it does not wait.
    pub fn serve(&mut self, ticket: Ticket) -> Option<Waiter> {
        let (waiter, rank) = self.remove(ticket)?;
        if let Some(class) = self.classes.get_mut(&rank.urgency) {
            class.virtual_time = class.virtual_time.max(rank.start);
        }
        self.forget_idle(&waiter);
        Some(waiter)
    }

    /// Removes a request whose caller left or whose deadline passed; `None` if it does not wait. It does not count as service of its
    /// organisation.
    pub fn leave(&mut self, ticket: Ticket) -> Option<Waiter> {
        let (waiter, _) = self.remove(ticket)?;
        let class = self.classes.get_mut(&waiter.urgency);
        if let Some(flow) = class.and_then(|class| class.flows.get_mut(&waiter.organisation)) {
            flow.finish = flow.finish.saturating_sub(waiter.service_time());
        }
        self.forget_idle(&waiter);
        Some(waiter)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<(Waiter, Rank)> {
        let (waiter, rank) = self.waiters.remove(&ticket)?;
        self.ranks.remove(&rank);
        if let Some(class) = self.classes.get_mut(&rank.urgency) {
            class.waiting -= 1;
            if let Some(flow) = class.flows.get_mut(&waiter.organisation) {
                flow.waiting -= 1;
            }
        }
        Some((waiter, rank))
    }

    /// Drops the state of an urgency without waiting requests, and of an organisation without waiting requests or virtual finish
    /// time in the future, so that memory use is proportional to the number of active organisations.
    fn forget_idle(&mut self, waiter: &Waiter) {
        let Some(class) = self.classes.get_mut(&waiter.urgency) else {
            return;
        };
        if class.waiting == 0 {
            self.classes.remove(&waiter.urgency);
            return;
        }
        let is_idle = |flow: &Flow| flow.waiting == 0 && flow.finish <= class.virtual_time;
        if class.flows.get(&waiter.organisation).is_some_and(is_idle) {
            class.flows.remove(&waiter.organisation);
        }
    }
}
