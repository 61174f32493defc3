//! The idle limit of caller connections.

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

/// Timer of the HTTP library for the time until the next request. It ends at the idle limit that is in force then, since
/// callers reuse connections for as long as the newest configuration allows.
#[derive(Clone, Debug)]
pub struct Timer(Arc<State>);

/// The wait for one request.
#[derive(Debug)]
struct Sleep {
    state: Arc<State>,
    since: Duration,
    timer: smol::Timer,
}

impl Timer {
    /// Creates the timer of a connection.
    #[must_use]
    pub fn new(state: &Arc<State>) -> Self {
        Self(Arc::clone(state))
    }
}

impl rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep {
            state: Arc::clone(&self.0),
            since: agatemill_runtime::now(),
            timer: smol::Timer::after(duration),
        })
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep(deadline.saturating_duration_since(Instant::now()))
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(Pin::new(&mut self.timer).poll(cx));
            let end = self.since + self.state.limits().idle;
            let left = end.saturating_sub(agatemill_runtime::now());
            if left.is_zero() {
                return Poll::Ready(());
            }
            self.timer = smol::Timer::after(left);
        }
    }
}

impl rt::Sleep for Sleep {}
