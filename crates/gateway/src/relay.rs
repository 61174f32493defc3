//! Relays the events of a stream to the caller.

use std::io;
use std::sync::Arc;

use bytes::Bytes;

use crate::State;
use crate::counter;
use crate::exchange::Job;
use crate::runs::Output;
use crate::runs::Runs;
use agatemill_core::Outcome;
use agatemill_core::Refusal;

/// A stream that is relayed to a caller.
pub struct Relay {
    state: Arc<State>,
    job: Arc<Job>,
    runs: Runs,
    is_done: bool,
    active: Option<counter::Guard>,
}

impl Relay {
    /// Creates the relay for a stream that an engine has started.
    #[must_use]
    pub fn new(state: &Arc<State>, job: &Arc<Job>, runs: Runs, active: counter::Guard) -> Self {
        Self {
            state: Arc::clone(state),
            job: Arc::clone(job),
            runs,
            is_done: false,
            active: Some(active),
        }
    }

    /// Returns the next complete events; `None` when the stream is complete, an error when it cannot go on.
    pub async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        while !self.is_done {
            match self.runs.next().await {
                Ok(Output::Events(events)) => return Some(Ok(events)),
                Ok(Output::Complete) => self.end(Outcome::Complete),
                Ok(Output::Head(_) | Output::Other(..)) => {}
                Err(refusal) => return Some(Err(self.abort(&refusal))),
            }
        }
        None
    }

    /// Aborts the stream, so that the caller can tell that it is incomplete.
    fn abort(&mut self, refusal: &Refusal) -> io::Error {
        log::warn!(
            request:% = self.job.parameters.attempt, refusal:%, last_event:? = self.runs.last_event();
            "stream: aborted"
        );
        self.state.metrics.count_event("stream", "cut");
        self.end(Outcome::Unknown);
        io::Error::other(refusal.to_string())
    }

    fn end(&mut self, outcome: Outcome) {
        self.is_done = true;
        self.active = None;
        let time = agatemill_runtime::now().saturating_sub(self.job.arrived);
        self.state.metrics.end_request(outcome, time);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let pause_ms = u64::try_from(self.runs.longest_pause().as_millis()).unwrap_or(u64::MAX);
        log::info!(request:% = self.job.parameters.attempt, outcome:%, ms, pause_ms; "stream: ended");
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_done {
            log::info!(
                request:% = self.job.parameters.attempt, last_event:? = self.runs.last_event();
                "stream: the caller left"
            );
            self.end(Outcome::Unknown);
        }
    }
}
