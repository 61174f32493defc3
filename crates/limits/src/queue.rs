//! Weighted fair queue of organisations, with priorities and deadlines.
//!
//! All organisations of a half share a fixed number of slots. A request waits when no slot is free. Waiting
//! requests are admitted by priority; within a priority the organisation with the least service relative to
//! its weight is admitted first (start-time fair queueing). A request is rejected immediately when its
//! expected wait exceeds its deadline.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;

use agatemill_core::Priority;
use agatemill_core::id;

/// Weight of the latest hold time in the moving average.
const HOLD_TIME_SMOOTHING: f64 = 0.1;

/// Identifies a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Organisation that it belongs to.
    pub organisation: id::Organisation,
    /// Weight of the organisation. Invariant: at least 1.
    pub weight: u32,
    /// Priority.
    pub priority: Priority,
    /// Maximum number of slots that the organisation may hold at once.
    pub concurrency: u32,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Duration,
}

/// Outcome of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request holds a slot.
    Admitted(Ticket),
    /// The request waits; [`Queue::release`] or [`Queue::resize`] returns its ticket once it holds a slot.
    Waiting(Ticket),
    /// The held slots and waiting requests of its organisation add up to twice its concurrency.
    ConcurrencyLimited,
    /// The queue is full, or the expected wait exceeds the deadline.
    Overloaded {
        /// The expected wait.
        wait: Duration,
    },
}

/// Order of the waiting requests: priority, then virtual start time, then arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Higher priorities have lower values.
    class: u8,
    /// Virtual start time in units of one millionth of a request of weight 1.
    start: u64,
    ticket: Ticket,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct Waiter {
    request: Request,
    rank: Rank,
}

/// State of an organisation with held slots, waiting requests or recent service.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Number of slots held.
    held: u32,
    /// Number of waiting requests.
    waiting: u32,
    /// Virtual finish time of the last request.
    finish: u64,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Holder {
    organisation: id::Organisation,
    since: Duration,
}

/// Virtual time of one request of weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1_000_000;

/// Weighted fair queue with a fixed number of slots.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    max_waiting: usize,
    /// Number of the next ticket.
    next_ticket: u64,
    /// Virtual time: the start time of the request that was admitted last.
    virtual_time: u64,
    holders: HashMap<Ticket, Holder>,
    ranks: BTreeMap<Rank, Ticket>,
    waiters: HashMap<Ticket, Waiter>,
    flows: HashMap<id::Organisation, Flow>,
    /// Moving average of the time for which a slot is held, in seconds; `None` before the first release.
    mean_hold_s: Option<f64>,
}

impl Queue {
    /// Creates a queue with `slots` slots and at most `max_waiting` waiting requests.
    #[must_use]
    pub fn new(slots: u32, max_waiting: usize) -> Self {
        Self {
            slots,
            max_waiting,
            next_ticket: 0,
            virtual_time: 0,
            holders: HashMap::new(),
            ranks: BTreeMap::new(),
            waiters: HashMap::new(),
            flows: HashMap::new(),
            mean_hold_s: None,
        }
    }

    /// Number of requests that hold a slot.
    #[must_use]
    pub fn held(&self) -> usize {
        self.holders.len()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Requests a slot.
    pub fn enter(&mut self, request: Request, now: Duration) -> Decision {
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        if flow.held + flow.waiting >= request.concurrency.saturating_mul(2) {
            return Decision::ConcurrencyLimited;
        }
        let wait = self.expected_wait(request.priority);
        let is_late = now.saturating_add(wait) >= request.deadline;
        if self.waiters.len() >= self.max_waiting || is_late {
            self.remove_if_idle(&request.organisation);
            return Decision::Overloaded { wait };
        }
        let ticket = self.insert(request);
        match self.admit_next(now) {
            Some(admitted) if admitted == ticket => Decision::Admitted(ticket),
            // Any request that could use a free slot was admitted at the last release, so `admit_next` admits
            // either this request or none.
            _ => Decision::Waiting(ticket),
        }
    }

    /// Releases a slot; returns the request that now holds it, if any.
    pub fn release(&mut self, ticket: Ticket, now: Duration) -> Option<Ticket> {
        let holder = self.holders.remove(&ticket)?;
        let seconds = now.saturating_sub(holder.since).as_secs_f64();
        self.mean_hold_s = Some(match self.mean_hold_s {
            Some(average) => average + HOLD_TIME_SMOOTHING * (seconds - average),
            None => seconds,
        });
        if let Some(flow) = self.flows.get_mut(&holder.organisation) {
            flow.held -= 1;
        }
        self.remove_if_idle(&holder.organisation);
        self.admit_next(now)
    }

    /// Removes a waiting request whose caller disconnected or whose deadline passed. Returns false when the
    /// request is not waiting; it may then hold a slot, which the caller must release.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiter) = self.waiters.remove(&ticket) else {
            return false;
        };
        self.ranks.remove(&waiter.rank);
        let organisation = waiter.request.organisation;
        if let Some(flow) = self.flows.get_mut(&organisation) {
            flow.waiting -= 1;
        }
        self.remove_if_idle(&organisation);
        true
    }

    /// Changes the number of slots; returns the requests that this admits.
    pub fn resize(&mut self, slots: u32, now: Duration) -> Vec<Ticket> {
        self.slots = slots;
        core::iter::from_fn(|| self.admit_next(now)).collect()
    }

    /// Expected wait of a new request of this priority: the requests ahead of it times the mean hold time, divided
    /// by the number of slots.
    #[must_use]
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        let Some(mean_hold_s) = self.mean_hold_s else {
            return Duration::ZERO;
        };
        if self.holders.len() < self.slots as usize {
            return Duration::ZERO;
        }
        let ahead = self
            .ranks
            .keys()
            .take_while(|rank| rank.class <= class(priority))
            .count();
        let rounds = (f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0)
            / f64::from(self.slots.max(1));
        Duration::try_from_secs_f64(rounds * mean_hold_s).unwrap_or(Duration::MAX)
    }

    fn insert(&mut self, request: Request) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        let start = flow.finish.max(self.virtual_time);
        flow.finish = start + VIRTUAL_TIME_UNIT / u64::from(request.weight.max(1));
        flow.waiting += 1;
        let rank = Rank {
            class: class(request.priority),
            start,
            ticket,
        };
        self.ranks.insert(rank, ticket);
        self.waiters.insert(ticket, Waiter { request, rank });
        ticket
    }

    /// Admits the first waiting request whose organisation holds fewer slots than its concurrency.
    fn admit_next(&mut self, now: Duration) -> Option<Ticket> {
        if self.holders.len() >= self.slots as usize {
            return None;
        }
        let is_below_concurrency = |ticket: &&Ticket| {
            let request = &self.waiters[*ticket].request;
            self.flows[&request.organisation].held < request.concurrency
        };
        let ticket = *self.ranks.values().find(is_below_concurrency)?;
        let waiter = self.waiters.remove(&ticket)?;
        self.ranks.remove(&waiter.rank);
        self.virtual_time = self.virtual_time.max(waiter.rank.start);
        let organisation = waiter.request.organisation;
        let flow = self.flows.entry(organisation.clone()).or_default();
        flow.waiting -= 1;
        flow.held += 1;
        self.holders.insert(
            ticket,
            Holder {
                organisation,
                since: now,
            },
        );
        Some(ticket)
    }

    /// Drops the state of an organisation without slots, waiting requests or virtual finish time in the future,
    /// so that memory use is proportional to the number of active organisations.
    fn remove_if_idle(&mut self, organisation: &id::Organisation) {
        if let Some(flow) = self.flows.get(organisation)
            && flow.held == 0
            && flow.waiting == 0
            && flow.finish <= self.virtual_time
        {
            self.flows.remove(organisation);
        }
    }
}

/// Rank of a priority; lower values are admitted first.
fn class(priority: Priority) -> u8 {
    match priority {
        Priority::Interactive => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
