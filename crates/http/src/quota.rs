//! Limit on open connections.

use core::fmt;
use core::fmt::Debug;
use core::fmt::Formatter;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::Arc;

/// Change of the number of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A connection is opened.
    Opened,
    /// A connection was closed.
    Closed,
    /// A connection was not opened, because the limit was reached.
    Refused,
}

/// Limit on the connections that are open at once, including idle ones of a pool. Clones share the limit.
#[derive(Clone)]
pub struct Quota(Arc<Inner>);

struct Inner {
    max: usize,
    open: AtomicUsize,
    observer: Box<dyn Fn(Change) + Send + Sync>,
}

/// A connection that counts towards a quota until it is dropped.
#[derive(Debug)]
pub struct Permit(Quota);

impl Quota {
    /// Creates a limit of `max` connections. `observer` is called at each change.
    #[must_use]
    pub fn new(max: usize, observer: impl Fn(Change) + Send + Sync + 'static) -> Self {
        Self(Arc::new(Inner {
            max,
            open: AtomicUsize::new(0),
            observer: Box::new(observer),
        }))
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }

    /// Counts one more connection; `None` when the limit is reached.
    #[must_use]
    pub fn acquire(&self) -> Option<Permit> {
        let max = self.0.max;
        let add = |open: usize| (open < max).then_some(open + 1);
        let added = self
            .0
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        let is_added = added.is_ok();
        (self.0.observer)(if is_added {
            Change::Opened
        } else {
            Change::Refused
        });
        is_added.then(|| Permit(self.clone()))
    }
}

impl Debug for Quota {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("Quota");
        text.field("open", &self.open()).finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.0.open.fetch_sub(1, Ordering::Relaxed);
        (self.0.0.observer)(Change::Closed);
    }
}
