//! Timer of the connection pool.

use core::future::Future;
use core::pin::Pin;
use core::task::Context;
use core::task::Poll;
use core::time::Duration;
use std::time::Instant;

use hyper::rt;

/// Timer of the connection pool, with which it closes idle connections. Without one it keeps them until the next request to
/// their server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer;

#[derive(Debug)]
struct Sleep(smol::Timer);

impl rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep(smol::Timer::after(duration)))
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep(smol::Timer::at(deadline)))
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(drop)
    }
}

impl rt::Sleep for Sleep {}
