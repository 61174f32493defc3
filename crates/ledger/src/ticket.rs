//! Tickets of won claims.

use core::time::Duration;

use smol::channel::Receiver;

use crate::Answer;
use crate::Call;
use crate::Ledger;
use crate::Permission;
use crate::Record;
use crate::Settlement;
use crate::record::State;
use agatemill_core::Refusal;
use agatemill_core::number::Revision;
use agatemill_core::quantity::Size;

/// Permission to send a call once.
///
/// Dropping a ticket before [`Ticket::may_send`] has allowed the send records that the call was not run. Dropping it
/// later leaves the record `begun`, because the outcome is unknown.
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

    /// Checks the deadline again, with the process time `now` immediately before the send.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller; see [`Permission::check`].
    pub fn may_send(&mut self, now: Duration) -> Result<(), Refusal> {
        self.permission.check(self.deadline, now)
    }

    /// Records the answer of the backend server. If the body exceeds the call's limit, the answer itself is omitted, so
    /// a repeat learns that the call ran but not its result. The write continues in the background if it takes longer
    /// than the timeout of one platform call.
    pub async fn finish(mut self, answer: Answer) {
        let stored = (answer.body.len() <= self.answer_limit.to_usize()).then_some(answer);
        self.settle(State::Done(stored)).await;
    }

    /// Records that the call did not run, because it was not sent or the backend server reported so. The write
    /// continues in the background if it takes longer than the timeout of one platform call.
    pub async fn not_run(mut self) {
        self.settle(State::NotRun).await;
    }

    async fn settle(&mut self, state: State) {
        self.settled = true;
        let finished = self.start_settlement(state);
        let _ = agatemill_runtime::timeout(self.ledger.timeout(), finished.recv()).await;
    }

    fn start_settlement(&self, state: State) -> Receiver<()> {
        let settlement = Settlement::new(self.record.with(state), self.revision);
        self.ledger
            .settle(self.key.clone(), settlement, self.retention)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.settled && self.permission != Permission::Given {
            self.start_settlement(State::NotRun);
        }
    }
}
