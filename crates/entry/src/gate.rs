//! Asynchronous fair queue of one half.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::channel::Receiver;
use smol::channel::Sender;

use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_limits::Queue;
use agatemill_limits::queue::Decision;
use agatemill_limits::queue::Request;
use agatemill_limits::queue::Ticket;

/// Fair queue of one half.
#[derive(Debug)]
pub struct Gate {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    /// Channels that wake waiting requests when they get a slot.
    wakers: HashMap<Ticket, Sender<()>>,
}

/// A slot, or a place among the waiting requests; released when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    ticket: Ticket,
}

impl Gate {
    /// Creates a gate with `slots` slots and at most `waiters` waiting requests.
    #[must_use]
    pub fn new(slots: u32, waiters: usize) -> Self {
        let state = State {
            queue: Queue::new(slots, waiters),
            wakers: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Waits for a slot until the request's deadline. Dropping the future cancels the wait.
    ///
    /// # Errors
    ///
    /// [`Reason::ConcurrencyLimited`], [`Reason::Overloaded`] or [`Reason::DeadlineExceeded`], all with the
    /// outcome "not run".
    pub async fn enter(self: Arc<Self>, request: Request) -> Result<Permit, Refusal> {
        let now = agatemill_runtime::now();
        let limit = request.deadline.saturating_sub(now);
        let (permit, woken) = self.enqueue(request, now)?;
        let Some(woken) = woken else {
            return Ok(permit);
        };
        match agatemill_runtime::timeout(limit, woken.recv()).await {
            Some(_) => Ok(permit),
            None => Err(Refusal::not_run(
                Reason::DeadlineExceeded,
                "the deadline passed while the request waited for a slot",
            )),
        }
    }

    fn enqueue(
        self: Arc<Self>,
        request: Request,
        now: Duration,
    ) -> Result<(Permit, Option<Receiver<()>>), Refusal> {
        let mut state = self.lock();
        let (ticket, woken) = match state.queue.enter(request, now) {
            Decision::Admitted(ticket) => (ticket, None),
            Decision::Waiting(ticket) => {
                let (sender, receiver) = smol::channel::bounded(1);
                state.wakers.insert(ticket, sender);
                (ticket, Some(receiver))
            }
            Decision::ConcurrencyLimited => return Err(concurrency_limited()),
            Decision::Overloaded { wait } => return Err(overloaded(wait)),
        };
        drop(state);
        let gate = self;
        Ok((Permit { gate, ticket }, woken))
    }

    /// Ignores poisoning: no update of the queue can panic half-way, so a panic in another thread leaves it
    /// consistent.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.wakers.remove(&self.ticket);
        if state.queue.cancel(self.ticket) {
            return;
        }
        let next = state.queue.release(self.ticket, agatemill_runtime::now());
        let waker = next.and_then(|ticket| state.wakers.remove(&ticket));
        drop(state);
        if let Some(waker) = waker {
            // Fails only if the waiting request was cancelled just now; dropping its permit then releases the slot.
            let _ = waker.try_send(());
        }
    }
}

fn concurrency_limited() -> Refusal {
    let detail = "the organisation has too many requests in progress";
    Refusal::not_run(Reason::ConcurrencyLimited, detail).retry_after(Duration::from_secs(1))
}

fn overloaded(wait: Duration) -> Refusal {
    let detail = "the queue is full or the expected wait exceeds the deadline";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(wait)
}
