//! Decisions while the end of a claim is being written.

use crate::Event;
use crate::Record;
use crate::record::Found;
use crate::record::State;
use agatemill_core::number::Revision;

/// A write of `done` or `not_run` that is repeated until it is known to have taken effect.
///
/// A write of `not_run` also ends an uncertain write of `begun`: both expect the same revision, so at
/// most one of them takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settle {
    record: Record,
    expected: Revision,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Write again at once.
    Again,
    /// Write again after a pause.
    Pause,
    /// Nothing is left to do.
    Finished,
}

impl Settle {
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

    /// Takes the result of a write.
    pub fn next(&mut self, event: Event) -> Progress {
        match event {
            Event::Conflict(Some(found)) => self.found(&found),
            Event::Conflict(None) => self.vanished(),
            Event::Written(_) | Event::Read(_) | Event::Unreadable => Progress::Finished,
            Event::Refused | Event::Uncertain | Event::ReadFailed | Event::LeaseLapsed => {
                Progress::Pause
            }
        }
    }

    fn found(&mut self, found: &Found) -> Progress {
        let own = found.record.owner == self.record.owner;
        if !own || found.record.state != State::Begun {
            return Progress::Finished;
        }
        self.expected = found.revision;
        Progress::Again
    }

    /// The service has lost the lease of the record. A call that ran is recorded again.
    fn vanished(&mut self) -> Progress {
        if self.record.state == State::NotRun {
            return Progress::Finished;
        }
        self.expected = Revision(0);
        Progress::Again
    }
}
