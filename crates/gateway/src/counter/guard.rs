//! Guard of a thing in progress.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::Arc;

/// Counts one thing until dropped.
#[derive(Debug)]
pub struct Guard(Arc<AtomicUsize>);

impl Guard {
    pub(super) fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
