//! Closes a connection that is no longer usable.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::task::Context;
use std::io;
use std::sync::Arc;

use futures::task::AtomicWaker;

/// Closes a connection of the pool from the outside. Clones refer to the same connection.
///
/// The pool may hold the connection already when its response arrives, and has no call to remove it.
#[derive(Clone, Debug, Default)]
pub struct Closer(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    is_closed: AtomicBool,
    /// The task that reads from the connection.
    reader: AtomicWaker,
}

impl Closer {
    /// Closes the connection: each further read and write fails.
    pub fn close(self) {
        self.0.is_closed.store(true, Ordering::Release);
        self.0.reader.wake();
    }

    /// Fails if the connection was closed; otherwise wakes the task of `cx` when it is.
    pub(crate) fn poll_open(&self, cx: &Context<'_>) -> io::Result<()> {
        self.0.reader.register(cx.waker());
        self.check_open()
    }

    /// Fails if the connection was closed.
    pub(crate) fn check_open(&self) -> io::Result<()> {
        if self.0.is_closed.load(Ordering::Acquire) {
            let text = "closed after bytes that are no response";
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, text));
        }
        Ok(())
    }
}
