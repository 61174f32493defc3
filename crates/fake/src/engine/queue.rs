//! Step queue of a fake engine.

use core::cmp::Reverse;
use core::time::Duration;

use smol::channel::Sender;

use crate::engine::state::failure;
use agatemill_core::id;
use agatemill_engine::Failure;
use agatemill_engine::Reply;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;

/// How the response to a step is sent.
#[derive(Debug)]
pub enum Delivery {
    /// The complete response.
    Complete(Reply),
    /// The complete response after a delay.
    Delayed(Reply, Duration),
    /// The first half of the response.
    Truncated(Reply),
    /// No response.
    Dropped,
}

/// A queued step with the channel for its result.
#[derive(Debug)]
pub struct Entry {
    /// The step.
    pub step: Step,
    /// Receives the result.
    pub result: Sender<Result<Delivery, Failure>>,
    /// Sequence number of the arrival.
    arrival: u64,
}

/// Steps that are queued for the next batches.
#[derive(Debug, Default)]
pub struct Queue {
    /// Number of steps in the running batch.
    pub running: u32,
    entries: Vec<Entry>,
    next_arrival: u64,
}

impl Queue {
    /// Enqueues a step.
    pub fn push(&mut self, step: Step, result: Sender<Result<Delivery, Failure>>) {
        self.entries.push(Entry {
            step,
            result,
            arrival: self.next_arrival,
        });
        self.next_arrival += 1;
    }

    /// Number of queued steps.
    #[must_use]
    pub fn depth(&self) -> u32 {
        u32::try_from(self.entries.len()).unwrap_or(u32::MAX)
    }

    /// Removes up to `count` steps, ordered by descending priority and then by arrival.
    pub fn pop_batch(&mut self, count: u32) -> Vec<Entry> {
        self.entries
            .sort_by_key(|entry| (Reverse(entry.step.priority), entry.arrival));
        let rest = self
            .entries
            .split_off(self.entries.len().min(count as usize));
        core::mem::replace(&mut self.entries, rest)
    }

    /// Removes the queued steps of a session and fails them with [`Code::Cancelled`].
    pub fn cancel(&mut self, session: &id::Session) {
        for entry in self
            .entries
            .extract_if(.., |entry| entry.step.session == *session)
        {
            let cancelled = failure(Code::Cancelled, "the session was cancelled");
            let _ = entry.result.try_send(Err(cancelled));
        }
    }
}
