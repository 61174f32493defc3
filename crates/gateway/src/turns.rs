//! Streams that wait for room at the engines, and whose turn it is when some comes free.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::State;
use crate::exchange::Job;
use agatemill_core::Urgency;
use agatemill_core::id;
use agatemill_fleet::admission::Claim;
use agatemill_fleet::demand::Subject;
use agatemill_limits::Line;
use agatemill_limits::line::Ticket;
use agatemill_limits::line::Waiter;

/// Streams that wait for room.
#[derive(Debug, Default)]
pub struct Turns(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    line: Line,
    /// Channels that tell waiting streams to look for a path.
    wakers: HashMap<Ticket, Sender<()>>,
}

/// The place of a stream in the line. Dropping it leaves the line.
#[derive(Debug)]
pub struct Turn {
    state: Arc<State>,
    ticket: Ticket,
    woken: Receiver<()>,
    subject: Subject,
    tokens: f64,
}

impl Turns {
    /// Whether a stream that is at least as urgent waits.
    #[must_use]
    pub fn is_behind(&self, urgency: Urgency) -> bool {
        self.lock().line.ahead_of(urgency) > 0
    }

    /// Lets the first waiting stream look for a path, since room may have come free.
    pub fn wake(&self) {
        self.lock().wake_after(None);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn wake_after(&self, ticket: Option<Ticket>) {
        let next = self.line.next_after(ticket);
        if let Some(waker) = next.and_then(|next| self.wakers.get(&next)) {
            // A full channel has woken the stream already.
            let _ = waker.try_send(());
        }
    }
}

/// Urgency by which a stream takes its turn: streams in progress come first.
#[must_use]
pub fn order(job: &Job, claim: Claim) -> Urgency {
    if claim == Claim::InProgress {
        Urgency::IN_PROGRESS
    } else {
        job.urgency()
    }
}

impl Turn {
    /// Joins the line.
    #[must_use]
    pub fn join(state: &Arc<State>, job: &Job, claim: Claim, tokens: f64) -> Self {
        let urgency = order(job, claim);
        let (waker, woken) = channel::bounded(1);
        let holder = job.organisation.as_ref();
        let waiter = Waiter {
            organisation: holder.and_then(|holder| holder.name.parse::<id::Organisation>().ok()),
            weight: 1,
            urgency,
            deadline: job.deadline,
        };
        let mut turns = state.turns.lock();
        let ticket = turns.line.join(waiter);
        turns.wakers.insert(ticket, waker);
        drop(turns);
        // Hosts keep room for new requests that wait. Streams in progress may use the room that is kept from those.
        let tokens = if claim == Claim::New { tokens } else { 0.0 };
        let subject = job.subject();
        state.meter().begin_wait(subject, tokens);
        state.metrics.change_waiting(subject.urgency, 1);
        Self {
            state: Arc::clone(state),
            ticket,
            woken,
            subject,
            tokens,
        }
    }

    /// Waits for the turn, for at most `limit`.
    pub async fn wait(&self, limit: Duration) {
        // The channel stays open as long as the turn is in the line.
        let _ = agatemill_runtime::timeout(limit, self.woken.recv()).await;
    }

    /// Lets the next stream look for a path, because this one found none.
    pub fn pass(&self) {
        self.state.turns.lock().wake_after(Some(self.ticket));
    }

    /// Leaves the line with a path, and lets the next stream look for one.
    pub fn close(self) {
        self.state.turns.lock().line.serve(self.ticket);
        self.state.turns.wake();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let mut turns = self.state.turns.lock();
        turns.line.leave(self.ticket);
        turns.wakers.remove(&self.ticket);
        drop(turns);
        self.state.meter().end_wait(self.subject, self.tokens);
        self.state.metrics.change_waiting(self.subject.urgency, -1);
    }
}
