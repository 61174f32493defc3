//! Events of a simulation and their queue.

use core::cmp::Ordering;
use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BinaryHeap;

use crate::simulation::engine::Job;
use agatemill_pipeline::progress::Loss;

/// An event in virtual time.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A request arrives at its entry.
    Arrival(usize),
    /// The deadline of a request passes.
    Deadline(usize),
    /// A step arrives at an engine.
    Step {
        /// Index of the engine.
        engine: usize,
        /// The step.
        job: Job,
        /// Attempt of its request.
        attempt: u32,
    },
    /// An engine completes a batch.
    BatchEnd {
        /// Index of the engine.
        engine: usize,
        /// Number of the batch; the event is ignored if the engine crashed after it started the batch.
        number: u64,
    },
    /// The reply to a step arrives at its entry.
    Reply {
        /// The step.
        job: Job,
        /// Cause of the failure; `None` on success.
        loss: Option<Loss>,
    },
    /// The timeout of a step expires.
    Timeout(Job),
    /// The backoff of a request ends and it retries.
    Retry {
        /// Index of the request.
        request: usize,
        /// Whether the retry must be paid from the retry budget.
        needs_budget: bool,
        /// Number of waits for the retry budget so far.
        budget_waits: u32,
    },
    /// The cancellation of a session arrives at an engine.
    Cancel {
        /// Index of the engine.
        engine: usize,
        /// Index of the request.
        request: usize,
        /// Attempt of the session.
        attempt: u32,
    },
    /// The entries query the status of all engines.
    Poll,
    /// The engines sample their load for delayed reports.
    Sample,
    /// The configured fault begins.
    Fault,
}

/// An event in the queue, ordered by time and then by number.
#[derive(Debug)]
struct Scheduled {
    at: Duration,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Queue of future events, ordered by time; events of the same time keep the order of insertion.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_number: u64,
}

impl Queue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.last_number += 1;
        let number = self.last_number;
        self.heap.push(Reverse(Scheduled { at, number, event }));
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
