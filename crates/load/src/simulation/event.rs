//! Events of a simulation.

use core::cmp::Ordering;
use core::cmp::Reverse;
use core::time::Duration;
use std::collections::BinaryHeap;

use crate::simulation::engine::Job;
use agatemill_pipeline::progress::Loss;

/// Something that happens at a time.
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
    /// An engine ends the batch with this number.
    BatchEnd {
        /// Index of the engine.
        engine: usize,
        /// Number of the batch; one of an engine that has died since is void.
        number: u64,
    },
    /// A step has an answer at its entry.
    Reply {
        /// The step.
        job: Job,
        /// How it failed; `None` for success.
        loss: Option<Loss>,
    },
    /// The time limit of a step passes.
    Timeout(Job),
    /// A request tries again.
    Retry {
        /// Index of the request.
        request: usize,
        /// Whether the retry needs the budget.
        needs_budget: bool,
        /// Waits for the budget so far.
        budget_waits: u32,
    },
    /// The cancellation of a session arrives at an engine.
    Cancel {
        /// Index of the engine.
        engine: usize,
        /// Index of the request.
        request: usize,
        /// Attempt.
        attempt: u32,
    },
    /// The entries query all engines.
    Poll,
    /// The engines keep their load for late reports.
    Sample,
    /// The fault of the settings begins.
    Fault,
}

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

/// Events that are due, the earliest first; those of the same time in the order in which they were added.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    last_number: u64,
}

impl Queue {
    /// Adds an event.
    pub fn schedule(&mut self, at: Duration, event: Event) {
        self.last_number += 1;
        let number = self.last_number;
        self.heap.push(Reverse(Scheduled { at, number, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.at, next.event))
    }
}
