//! Decisions while a call is being claimed.

use core::time::Duration;

use crate::Answer;
use crate::Event;
use crate::Record;
use crate::Settle;
use crate::record::Found;
use crate::record::State;
use agatemill_core::Cause;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::number::Revision;

/// Most writes of one claim. A claim needs more than one only after a lost answer, a lapsed lease or
/// another claim of the same key, so a caller does not wait for long.
const MAX_WRITES: u32 = 3;

/// A claim in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The record `begun` that it tries to write.
    record: Record,
    deadline: Duration,
    /// Revision that its last write expected.
    expected: Revision,
    /// Whether the last write may still take effect.
    uncertain: bool,
    writes: u32,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the record `begun` if the key has this revision.
    Write(Revision),
    /// Read the key.
    Read,
    /// The call may be sent; the record has this revision.
    Win(Revision),
    /// The call ran before, with this answer.
    Repeat(Answer),
    /// Tell the caller. Nothing is sent.
    Refuse(Refusal),
    /// Tell the caller, and settle the record in the background. Nothing is sent.
    Cancel(Refusal, Settle),
}

impl Attempt {
    /// Creates a claim that tries to write `record`, which is `begun`.
    #[must_use]
    pub fn new(record: Record, deadline: Duration) -> Self {
        Self {
            record,
            deadline,
            expected: Revision(0),
            uncertain: false,
            writes: 0,
        }
    }

    /// The record that a write carries.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Process time after which the call is not sent.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// The first action.
    pub fn start(&mut self, now: Duration) -> Action {
        self.write(Revision(0), now)
    }

    /// The action after a result.
    pub fn next(&mut self, event: Event, now: Duration) -> Action {
        match event {
            Event::Written(revision) => self.win(revision, now),
            Event::Conflict(Some(found)) | Event::Read(Some(found)) => self.found(found, now),
            // An uncertain write of an absent key may still take effect, but not after this one.
            Event::Conflict(None) | Event::Read(None) => self.write(Revision(0), now),
            Event::LeaseLapsed => self.write(self.expected, now),
            Event::Uncertain => {
                self.uncertain = true;
                Action::Read
            }
            Event::Refused | Event::ReadFailed => self.give_up(unavailable()),
            Event::Unreadable => self.give_up(unreadable()),
        }
    }

    /// Ends the claim without a result.
    #[must_use]
    pub fn give_up(&self, refusal: Refusal) -> Action {
        if self.uncertain {
            return self.cancel(refusal, self.expected);
        }
        Action::Refuse(refusal)
    }

    fn write(&mut self, expected: Revision, now: Duration) -> Action {
        if now >= self.deadline {
            return self.give_up(late());
        }
        if self.writes == MAX_WRITES {
            return self.give_up(unavailable());
        }
        // A write that expected another revision can no longer take effect: revisions only rise.
        self.uncertain &= expected == self.expected;
        self.expected = expected;
        self.writes += 1;
        Action::Write(expected)
    }

    fn win(&self, revision: Revision, now: Duration) -> Action {
        if now >= self.deadline {
            return self.cancel(late(), revision);
        }
        Action::Win(revision)
    }

    fn found(&mut self, found: Found, now: Duration) -> Action {
        let Found { record, revision } = found;
        if record == self.record {
            return self.win(revision, now);
        }
        if record.body != self.record.body {
            return Action::Refuse(reused());
        }
        match record.state {
            State::Begun => Action::Refuse(unknown()),
            State::Done(Some(answer)) => Action::Repeat(answer),
            State::Done(None) => Action::Refuse(not_kept()),
            State::NotRun => self.write(revision, now),
        }
    }

    fn cancel(&self, refusal: Refusal, expected: Revision) -> Action {
        let record = self.record.with(State::NotRun);
        Action::Cancel(refusal, Settle::new(record, expected))
    }
}

/// Refusal of a call whose deadline has passed.
#[must_use]
pub fn late() -> Refusal {
    Refusal::not_run(
        Reason::DeadlineExceeded,
        "the deadline passed before the call was sent",
    )
}

/// Refusal of a call that could not be recorded.
#[must_use]
pub fn unavailable() -> Refusal {
    Refusal::not_run(
        Reason::PlatformUnavailable,
        "the call could not be recorded, so it was not sent",
    )
}

fn unreadable() -> Refusal {
    Refusal::new(
        Reason::OutcomeUnknown,
        Phase::Sent,
        Cause::ConnectionLost,
        "the record of this key cannot be read; do not submit the call again",
    )
}

fn reused() -> Refusal {
    Refusal::not_run(
        Reason::KeyReused,
        "the idempotency key was used with another request",
    )
}

fn unknown() -> Refusal {
    Refusal::new(
        Reason::OutcomeUnknown,
        Phase::Sent,
        Cause::ConnectionLost,
        "an earlier call with this key began; do not submit it again",
    )
}

fn not_kept() -> Refusal {
    Refusal::new(
        Reason::AnswerNotKept,
        Phase::Answered,
        Cause::Finished,
        "the call is complete, but its answer was too large to keep",
    )
}
