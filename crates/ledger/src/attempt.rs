//! State machine of a claim in progress.

use core::time::Duration;

use crate::Answer;
use crate::Event;
use crate::Record;
use crate::Settlement;
use crate::record::Found;
use crate::record::State;
use agatemill_core::Cause;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::number::Revision;

/// Maximum number of writes per claim, which bounds the caller's wait. A claim needs more than one write only
/// after a lost response, an expired lease or another claim of the same key.
const MAX_WRITES: u32 = 3;

/// A claim in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The `begun` record that the claim tries to write.
    record: Record,
    deadline: Duration,
    /// Expected revision of the last write.
    expected: Revision,
    /// Whether the last write may still take effect.
    uncertain: bool,
    writes: u32,
}

/// Next action of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the `begun` record if the key has this revision.
    Write(Revision),
    /// Read the key.
    Read,
    /// The claim is won: the call may be sent, and the record has this revision.
    Win(Revision),
    /// The call has already run; replay this answer.
    Repeat(Answer),
    /// Return the refusal to the caller. The call is not sent.
    Refuse(Refusal),
    /// Return the refusal to the caller and settle the record in the background. The call is not sent.
    Cancel(Refusal, Settlement),
}

impl Attempt {
    /// Creates a claim that tries to write `record`, which must be `begun`.
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

    /// The record to write.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Process time after which the call must not be sent.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// The first action.
    pub fn start(&mut self, now: Duration) -> Action {
        self.write(Revision(0), now)
    }

    /// The next action after a result.
    pub fn next(&mut self, event: Event, now: Duration) -> Action {
        match event {
            Event::Written(revision) => self.win(revision, now),
            Event::Conflict(Some(found)) | Event::Read(Some(found)) => {
                self.handle_record(found, now)
            }
            // An uncertain write that expects an absent key may still take effect, but not after this write.
            Event::Conflict(None) | Event::Read(None) => self.write(Revision(0), now),
            Event::LeaseExpired => self.write(self.expected, now),
            Event::Uncertain => {
                self.uncertain = true;
                Action::Read
            }
            Event::Refused | Event::ReadFailed => self.give_up(platform_unavailable()),
            Event::Unreadable => self.give_up(record_unreadable()),
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
            return self.give_up(deadline_exceeded());
        }
        if self.writes == MAX_WRITES {
            return self.give_up(platform_unavailable());
        }
        // An earlier write that expected another revision can no longer take effect, because revisions only increase.
        self.uncertain &= expected == self.expected;
        self.expected = expected;
        self.writes += 1;
        Action::Write(expected)
    }

    fn win(&self, revision: Revision, now: Duration) -> Action {
        if now >= self.deadline {
            return self.cancel(deadline_exceeded(), revision);
        }
        Action::Win(revision)
    }

    fn handle_record(&mut self, found: Found, now: Duration) -> Action {
        let Found { record, revision } = found;
        if record == self.record {
            return self.win(revision, now);
        }
        if record.body != self.record.body {
            return Action::Refuse(key_reused());
        }
        match record.state {
            State::Begun => Action::Refuse(outcome_unknown()),
            State::Done(Some(answer)) => Action::Repeat(answer),
            State::Done(None) => Action::Refuse(answer_not_kept()),
            State::NotRun => self.write(revision, now),
        }
    }

    fn cancel(&self, refusal: Refusal, expected: Revision) -> Action {
        let record = self.record.with(State::NotRun);
        Action::Cancel(refusal, Settlement::new(record, expected))
    }
}

/// Refusal of a call whose deadline has passed.
#[must_use]
pub fn deadline_exceeded() -> Refusal {
    Refusal::not_run(
        Reason::DeadlineExceeded,
        "the deadline passed before the call was sent",
    )
}

/// Refusal of a call that could not be recorded.
#[must_use]
pub fn platform_unavailable() -> Refusal {
    Refusal::not_run(
        Reason::PlatformUnavailable,
        "the call could not be recorded, so it was not sent",
    )
}

fn record_unreadable() -> Refusal {
    Refusal::new(
        Reason::OutcomeUnknown,
        Phase::Sent,
        Cause::ConnectionLost,
        "the record of this key cannot be read; do not submit the call again",
    )
}

fn key_reused() -> Refusal {
    Refusal::not_run(
        Reason::KeyReused,
        "the idempotency key was used with another request",
    )
}

fn outcome_unknown() -> Refusal {
    Refusal::new(
        Reason::OutcomeUnknown,
        Phase::Sent,
        Cause::ConnectionLost,
        "an earlier call with this key began; do not submit it again",
    )
}

fn answer_not_kept() -> Refusal {
    Refusal::new(
        Reason::AnswerNotKept,
        Phase::Answered,
        Cause::Finished,
        "the call is complete, but its answer was too large to keep",
    )
}
