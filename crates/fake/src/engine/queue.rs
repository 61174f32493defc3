//! Waiting steps of a stand-in engine.

use core::cmp::Reverse;
use core::time::Duration;

use smol::channel::Sender;

use crate::engine::state::failure;
use agatemill_core::id;
use agatemill_engine::Failure;
use agatemill_engine::Reply;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;

/// How the answer to a step goes out.
#[derive(Debug)]
pub enum Delivery {
    /// The answer as it is.
    Whole(Reply),
    /// The answer after a delay.
    Late(Reply, Duration),
    /// Half of the answer.
    Cut(Reply),
    /// No answer.
    Lose,
}

/// A step that waits, with the channel for its result.
#[derive(Debug)]
pub struct Waiting {
    /// The step.
    pub step: Step,
    /// Takes the result.
    pub result: Sender<Result<Delivery, Failure>>,
    /// Number of the arrival.
    arrival: u64,
}

/// Steps that wait for the next batch.
#[derive(Debug, Default)]
pub struct Queue {
    /// Number of steps in the batch that runs.
    pub running: u32,
    waiting: Vec<Waiting>,
    arrivals: u64,
}

impl Queue {
    /// Adds a step.
    pub fn push(&mut self, step: Step, result: Sender<Result<Delivery, Failure>>) {
        self.waiting.push(Waiting {
            step,
            result,
            arrival: self.arrivals,
        });
        self.arrivals += 1;
    }

    /// Number of steps that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Takes up to `count` steps: the highest priority first, then in the order of arrival.
    pub fn take(&mut self, count: u32) -> Vec<Waiting> {
        self.waiting
            .sort_by_key(|waiting| (Reverse(waiting.step.priority), waiting.arrival));
        let rest = self
            .waiting
            .split_off(self.waiting.len().min(count as usize));
        core::mem::replace(&mut self.waiting, rest)
    }

    /// Ends the waiting steps of a session.
    pub fn cancel(&mut self, session: &id::Session) {
        for waiting in self
            .waiting
            .extract_if(.., |waiting| waiting.step.session == *session)
        {
            let cancelled = failure(Code::Cancelled, "the session was cancelled");
            let _ = waiting.result.try_send(Err(cancelled));
        }
    }
}
