//! State machine of the write that records the end of a claim.

use crate::Event;
use crate::Record;
use crate::record::Found;
use crate::record::State;
use agatemill_core::number::Revision;

/// A write of `done` or `not_run` that is retried until it is known to have taken effect.
///
/// A write of `not_run` also resolves an uncertain write of `begun`: both expect the same revision, so at most one
/// of them takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settlement {
    record: Record,
    expected: Revision,
}

/// Next step after a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Retry immediately.
    Retry,
    /// Retry after a backoff delay.
    Backoff,
    /// The record is settled, or can no longer be.
    Finished,
}

impl Settlement {
    /// Creates a write of `record` over the revision `expected`.
    #[must_use]
    pub fn new(record: Record, expected: Revision) -> Self {
        Self { record, expected }
    }

    /// The record to write.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// The revision that the next write expects.
    #[must_use]
    pub fn expected(&self) -> Revision {
        self.expected
    }

    /// Handles the result of a write.
    pub fn next(&mut self, event: Event) -> Progress {
        match event {
            Event::Conflict(Some(found)) => self.handle_record(&found),
            Event::Conflict(None) => self.handle_missing_record(),
            Event::Written(_) | Event::Read(_) | Event::Unreadable => Progress::Finished,
            Event::Refused | Event::Uncertain | Event::ReadFailed | Event::LeaseExpired => {
                Progress::Backoff
            }
        }
    }

    fn handle_record(&mut self, found: &Found) -> Progress {
        let own = found.record.owner == self.record.owner;
        if !own || found.record.state != State::Begun {
            return Progress::Finished;
        }
        self.expected = found.revision;
        Progress::Retry
    }

    /// Handles a record that was lost with its lease. A call that ran is recorded again.
    fn handle_missing_record(&mut self) -> Progress {
        if self.record.state == State::NotRun {
            return Progress::Finished;
        }
        self.expected = Revision(0);
        Progress::Retry
    }
}
