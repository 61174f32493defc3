//! Won claims.

use core::time::Duration;

use smol::channel::Receiver;

use crate::Answer;
use crate::Call;
use crate::Ledger;
use crate::Permission;
use crate::Record;
use crate::Settle;
use crate::record::State;
use agatemill_core::Refusal;
use agatemill_core::number::Revision;
use agatemill_core::quantity::Size;

/// The right to send a call, once.
///
/// A ticket that is dropped before [`Ticket::may_send`] allowed the send records that the call was not
/// run. One that is dropped later leaves the record `begun`, because the outcome is unknown.
#[derive(Debug)]
pub struct Ticket {
    ledger: Ledger,
    key: String,
    record: Record,
    revision: Revision,
    deadline: Duration,
    retention: Duration,
    answer_limit: Size,
    permission: Permission,
    settled: bool,
}

impl Ticket {
    pub(crate) fn new(
        ledger: Ledger,
        key: String,
        record: Record,
        revision: Revision,
        call: &Call,
    ) -> Self {
        Self {
            ledger,
            key,
            record,
            revision,
            deadline: call.deadline,
            retention: call.retention,
            answer_limit: call.answer_limit,
            permission: Permission::Open,
            settled: false,
        }
    }

    /// Checks the deadline again, with the process time `now` just before the send.
    ///
    /// # Errors
    ///
    /// The refusal for the caller; see [`Permission::check`].
    pub fn may_send(&mut self, now: Duration) -> Result<(), Refusal> {
        self.permission.check(self.deadline, now)
    }

    /// Records the answer of the backend server; without the answer itself when its body is over the
    /// call's limit, so that a repeat learns that the call ran but not its result. The write goes on in the background when it takes
    /// longer than the timeout of one platform call.
    pub async fn finish(mut self, answer: Answer) {
        let kept = (answer.body.len() <= self.answer_limit.to_usize()).then_some(answer);
        self.settle(State::Done(kept)).await;
    }

    /// Records that the call did not run: it was not sent, or the backend server said so. The write
    /// goes on in the background when it takes longer than the timeout of one platform call.
    pub async fn not_run(mut self) {
        self.settle(State::NotRun).await;
    }

    async fn settle(&mut self, state: State) {
        self.settled = true;
        let finished = self.start(state);
        let _ = agatemill_runtime::timeout(self.ledger.timeout(), finished.recv()).await;
    }

    fn start(&self, state: State) -> Receiver<()> {
        let settle = Settle::new(self.record.with(state), self.revision);
        self.ledger.settle(self.key.clone(), settle, self.retention)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.settled && self.permission != Permission::Given {
            self.start(State::NotRun);
        }
    }
}
