//! Weighted fair queue by organisation, with priorities and deadlines.
//!
//! A fixed number of slots is shared by all organisations of a half. A request that finds no free slot
//! waits. Among waiting requests the highest priority goes first; within a priority the organisation with
//! the least service in relation to its weight goes first (start-time fair queueing). A request is refused
//! at once when its expected wait exceeds its deadline.

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::HashMap;

use agatemill_core::Priority;
use agatemill_core::id;

/// Weight of the newest hold time in the moving average.
const SMOOTHING: f64 = 0.1;

/// Names one request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Organisation that it belongs to.
    pub organisation: id::Organisation,
    /// Weight of the organisation. Invariant: at least 1.
    pub weight: u32,
    /// Priority.
    pub priority: Priority,
    /// Slots that the organisation may hold at once.
    pub concurrency: u32,
    /// When nobody waits for the answer any longer.
    pub deadline: Duration,
}

/// What became of a request that asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has a slot.
    Admitted(Ticket),
    /// It waits; [`Queue::release`] or [`Queue::resize`] will name it.
    Waiting(Ticket),
    /// Its organisation holds and waits for all that it may.
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

#[derive(Clone, Debug)]
struct Waiter {
    request: Request,
    rank: Rank,
}

#[derive(Clone, Debug, Default)]
struct Flow {
    /// Slots held.
    held: u32,
    /// Requests that wait.
    waiting: u32,
    /// Virtual finish time of its last request.
    finish: u64,
}

#[derive(Clone, Debug)]
struct Holder {
    organisation: id::Organisation,
    since: Duration,
}

/// Virtual time of one request of weight 1.
const UNIT: u64 = 1_000_000;

/// Weighted fair queue with a fixed number of slots.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    max_waiting: usize,
    /// Number of the next ticket.
    next: u64,
    /// Virtual time: the start time of the request that was admitted last.
    virtual_time: u64,
    holders: HashMap<Ticket, Holder>,
    ranks: BTreeMap<Rank, Ticket>,
    waiters: HashMap<Ticket, Waiter>,
    flows: HashMap<id::Organisation, Flow>,
    /// Moving average of how long a slot is held, in seconds; `None` before the first release.
    hold: Option<f64>,
}

impl Queue {
    /// Creates a queue with `slots` slots in which at most `max_waiting` requests wait.
    #[must_use]
    pub fn new(slots: u32, max_waiting: usize) -> Self {
        Self {
            slots,
            max_waiting,
            next: 0,
            virtual_time: 0,
            holders: HashMap::new(),
            ranks: BTreeMap::new(),
            waiters: HashMap::new(),
            flows: HashMap::new(),
            hold: None,
        }
    }

    /// Requests that hold a slot.
    #[must_use]
    pub fn held(&self) -> usize {
        self.holders.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Asks for a slot.
    pub fn enter(&mut self, request: Request, now: Duration) -> Decision {
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        if flow.held + flow.waiting >= request.concurrency.saturating_mul(2) {
            return Decision::ConcurrencyLimited;
        }
        let wait = self.expected_wait(request.priority);
        let late = now.saturating_add(wait) >= request.deadline;
        if self.waiters.len() >= self.max_waiting || late {
            self.forget_idle(&request.organisation);
            return Decision::Overloaded { wait };
        }
        let ticket = self.insert(request);
        match self.admit_next(now) {
            Some(admitted) if admitted == ticket => Decision::Admitted(ticket),
            // A slot was free only for this request, since every release admits what it can.
            _ => Decision::Waiting(ticket),
        }
    }

    /// Gives a slot back; returns the request that now holds it, if any.
    pub fn release(&mut self, ticket: Ticket, now: Duration) -> Option<Ticket> {
        let holder = self.holders.remove(&ticket)?;
        let seconds = now.saturating_sub(holder.since).as_secs_f64();
        self.hold = Some(match self.hold {
            Some(average) => average + SMOOTHING * (seconds - average),
            None => seconds,
        });
        if let Some(flow) = self.flows.get_mut(&holder.organisation) {
            flow.held -= 1;
        }
        self.forget_idle(&holder.organisation);
        self.admit_next(now)
    }

    /// Takes a waiting request out, because its caller left or its deadline passed. False when it does
    /// not wait; it may then hold a slot, which is to be released.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiter) = self.waiters.remove(&ticket) else {
            return false;
        };
        self.ranks.remove(&waiter.rank);
        let organisation = waiter.request.organisation;
        if let Some(flow) = self.flows.get_mut(&organisation) {
            flow.waiting -= 1;
        }
        self.forget_idle(&organisation);
        true
    }

    /// Changes the number of slots; returns the requests that now hold one.
    pub fn resize(&mut self, slots: u32, now: Duration) -> Vec<Ticket> {
        self.slots = slots;
        core::iter::from_fn(|| self.admit_next(now)).collect()
    }

    /// Expected wait of a new request of this priority: the work ahead of it, spread over the slots.
    #[must_use]
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        let Some(hold) = self.hold else {
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
        Duration::try_from_secs_f64(rounds * hold).unwrap_or(Duration::MAX)
    }

    fn insert(&mut self, request: Request) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        let start = flow.finish.max(self.virtual_time);
        flow.finish = start + UNIT / u64::from(request.weight.max(1));
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

    /// Admits the first waiting request whose organisation is below its concurrency.
    fn admit_next(&mut self, now: Duration) -> Option<Ticket> {
        if self.holders.len() >= self.slots as usize {
            return None;
        }
        let below = |ticket: &&Ticket| {
            let request = &self.waiters[*ticket].request;
            self.flows[&request.organisation].held < request.concurrency
        };
        let ticket = *self.ranks.values().find(below)?;
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

    /// Drops the state of an organisation that neither holds nor waits and whose service is in the past,
    /// so that memory follows the organisations in use.
    fn forget_idle(&mut self, organisation: &id::Organisation) {
        if let Some(flow) = self.flows.get(organisation)
            && flow.held == 0
            && flow.waiting == 0
            && flow.finish <= self.virtual_time
        {
            self.flows.remove(organisation);
        }
    }
}

fn class(priority: Priority) -> u8 {
    match priority {
        Priority::Interactive => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
