//! The idle limit of caller connections, and the time limit for the head of a request.

use core::future::Future;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::task::ready;
use core::time::Duration;
use std::sync::Arc;
use std::time::Instant;

use hyper::rt;

use crate::State;
use crate::connections::Guard;
use crate::table::Phase;

/// Timer of the HTTP library for the time until the head of the next request is complete. While nothing of it has arrived, it
/// ends at the idle limit that is in force then, since callers reuse connections for as long as the newest configuration
/// allows; afterwards at the limit for heads, counted from the first byte.
#[derive(Clone, Debug)]
pub struct Timer {
    state: Arc<State>,
    guard: Guard,
}

/// The wait for one request.
#[derive(Debug)]
struct Sleep {
    state: Arc<State>,
    guard: Guard,
    /// Time for which `timer` is set.
    end: Duration,
    timer: smol::Timer,
}

impl Timer {
    /// Creates the timer of a connection.
    #[must_use]
    pub fn new(state: &Arc<State>, guard: &Guard) -> Self {
        Self {
            state: Arc::clone(state),
            guard: guard.clone(),
        }
    }
}

impl rt::Timer for Timer {
    /// Called when the connection begins to wait for a request.
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        // The first byte of the first request may have been read already.
        if !matches!(self.guard.phase(), Some((Phase::Head, _))) {
            self.guard.set_phase(Phase::Idle);
        }
        Box::pin(Sleep {
            state: Arc::clone(&self.state),
            guard: self.guard.clone(),
            end: agatemill_runtime::now() + duration,
            timer: smol::Timer::after(duration),
        })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

impl Sleep {
    /// Time at which the wait ends, and the reason for which the connection is closed then.
    fn end(&self) -> (Duration, &'static str) {
        let limits = self.state.limits();
        match self.guard.phase() {
            Some((Phase::Head, since)) => (since + limits.header, "head_timeout"),
            Some((_, since)) => (since + limits.idle, "idle_timeout"),
            None => (Duration::ZERO, "ended"),
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let (end, reason) = self.end();
            let left = end.saturating_sub(agatemill_runtime::now());
            if left.is_zero() {
                self.guard.set_reason(reason);
                return Poll::Ready(());
            }
            if end != self.end {
                self.end = end;
                self.timer = smol::Timer::after(left);
            }
            ready!(Pin::new(&mut self.timer).poll(cx));
            // The timer has ended; it is set again if the limit has changed meanwhile.
            self.end = Duration::ZERO;
        }
    }
}

impl rt::Sleep for Sleep {}
