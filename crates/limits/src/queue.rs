//! Weighted fair queue of organisations for a fixed number of slots.
//!
//! All organisations of a half share the slots. A request waits when no slot is free, and waiting requests are admitted in
//! the order of a [`Line`]. A request is rejected immediately when its expected wait exceeds its deadline.

use core::time::Duration;
use std::collections::HashMap;

use crate::Line;
use crate::line::Waiter;
use agatemill_core::Urgency;
use agatemill_core::id;

pub use crate::line::Ticket;

/// Weight of the latest hold time in the moving average.
const HOLD_TIME_SMOOTHING: f64 = 0.1;

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// Organisation that it belongs to.
    pub organisation: id::Organisation,
    /// Weight of the organisation. Invariant: at least 1.
    pub weight: u32,
    /// Urgency.
    pub urgency: Urgency,
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

/// State of an organisation with held slots or waiting requests.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Number of slots held.
    held: u32,
    /// Number of waiting requests.
    waiting: u32,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Holder {
    organisation: id::Organisation,
    since: Duration,
}

/// Weighted fair queue with a fixed number of slots.
#[derive(Clone, Debug)]
pub struct Queue {
    slots: u32,
    max_waiting: usize,
    holders: HashMap<Ticket, Holder>,
    line: Line,
    /// Maximum number of slots of the organisations of the waiting requests.
    concurrency: HashMap<Ticket, u32>,
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
            holders: HashMap::new(),
            line: Line::default(),
            concurrency: HashMap::new(),
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
        self.line.len()
    }

    /// Requests a slot.
    pub fn enter(&mut self, request: Request, now: Duration) -> Decision {
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        if flow.held + flow.waiting >= request.concurrency.saturating_mul(2) {
            return Decision::ConcurrencyLimited;
        }
        let wait = self.expected_wait(request.urgency);
        let is_late = now.saturating_add(wait) >= request.deadline;
        if self.line.len() >= self.max_waiting || is_late {
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
        let Some(waiter) = self.line.leave(ticket) else {
            return false;
        };
        self.concurrency.remove(&ticket);
        if let Some(organisation) = waiter.organisation {
            if let Some(flow) = self.flows.get_mut(&organisation) {
                flow.waiting -= 1;
            }
            self.remove_if_idle(&organisation);
        }
        true
    }

    /// Changes the number of slots; returns the requests that this admits.
    pub fn resize(&mut self, slots: u32, now: Duration) -> Vec<Ticket> {
        self.slots = slots;
        core::iter::from_fn(|| self.admit_next(now)).collect()
    }

    /// Expected wait of a new request of this urgency: the requests ahead of it times the mean hold time, divided
    /// by the number of slots.
    #[must_use]
    pub fn expected_wait(&self, urgency: Urgency) -> Duration {
        let Some(mean_hold_s) = self.mean_hold_s else {
            return Duration::ZERO;
        };
        if self.holders.len() < self.slots as usize {
            return Duration::ZERO;
        }
        let ahead = self.line.ahead_of(urgency);
        let rounds = (f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0)
            / f64::from(self.slots.max(1));
        Duration::try_from_secs_f64(rounds * mean_hold_s).unwrap_or(Duration::MAX)
    }

    fn insert(&mut self, request: Request) -> Ticket {
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        flow.waiting += 1;
        let concurrency = request.concurrency;
        let waiter = Waiter {
            organisation: Some(request.organisation),
            weight: request.weight,
            urgency: request.urgency,
            deadline: request.deadline,
        };
        let ticket = self.line.join(waiter);
        self.concurrency.insert(ticket, concurrency);
        ticket
    }

    /// Admits the first waiting request whose organisation holds fewer slots than its concurrency.
    fn admit_next(&mut self, now: Duration) -> Option<Ticket> {
        if self.holders.len() >= self.slots as usize {
            return None;
        }
        let held = |organisation: &Option<id::Organisation>| {
            let flow = organisation.as_ref().and_then(|name| self.flows.get(name));
            flow.map_or(0, |flow| flow.held)
        };
        let is_below_concurrency = |ticket: Ticket, waiter: &Waiter| {
            let limit = self.concurrency.get(&ticket).copied();
            held(&waiter.organisation) < limit.unwrap_or(u32::MAX)
        };
        let found = {
            let mut waiting = self.line.iter();
            waiting
                .find_map(|(ticket, waiter)| is_below_concurrency(ticket, waiter).then_some(ticket))
        };
        let ticket = found?;
        let organisation = self.line.serve(ticket)?.organisation?;
        self.concurrency.remove(&ticket);
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

    /// Drops the state of an organisation without slots or waiting requests, so that memory use is proportional to the
    /// number of active organisations.
    fn remove_if_idle(&mut self, organisation: &id::Organisation) {
        if let Some(flow) = self.flows.get(organisation)
            && flow.held == 0
            && flow.waiting == 0
        {
            self.flows.remove(organisation);
        }
    }
}
