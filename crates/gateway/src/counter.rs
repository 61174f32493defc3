//! Counts of things in progress.

pub mod guard;

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use std::sync::Arc;

pub use guard::Guard;

/// Number of things in progress, such as requests. Clones share the number.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicUsize>);

impl Counter {
    /// The number now.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts one more until the guard is dropped.
    #[must_use]
    pub fn track(&self) -> Guard {
        Guard::new(Arc::clone(&self.0))
    }
}
