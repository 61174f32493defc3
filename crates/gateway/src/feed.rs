//! Buffer of recent store changes, for hosts that follow the store through this one.

pub mod remote;
pub mod serve;

use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;
use event_listener::EventListener;

use crate::clock;
use agatemill_adapter::store::Change;
use agatemill_core::number::Revision;

/// Maximum number of buffered changes: a few seconds of changes of a hundred engines. A host that is further
/// behind reads the store itself.
const MAX_CHANGES: usize = 500;

/// Maximum size of the buffered changes, in bytes: a small part of a host's memory, so that a series of large
/// configurations does not fill it.
const MAX_BYTES: usize = 4 << 20;

/// Buffer of recent store changes, for hosts that follow the store through this one.
#[derive(Debug, Default)]
pub struct Feed {
    inner: Mutex<Inner>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Inner {
    /// Revision after which all changes are buffered; `None` before the first snapshot and while the store is
    /// lost.
    start: Option<Revision>,
    /// Revision up to which all changes are buffered.
    end: Revision,
    /// Changes of each response of the store, with its revision. `changes` and `bytes` are the totals over all
    /// batches.
    batches: VecDeque<(Revision, Vec<Change>)>,
    changes: usize,
    bytes: usize,
    /// Time of the last response, on the clock that keeps running during suspend.
    updated_at: Duration,
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// No changes yet.
    None,
    /// Changes, and the revision up to which they are complete.
    Since(Vec<Change>, Revision),
    /// The buffer does not reach back to the revision.
    Unknown,
}

impl Feed {
    /// Restarts the buffer at the revision of a snapshot of the whole store.
    pub fn reset(&self, revision: Revision) {
        *self.lock() = Inner {
            start: Some(revision),
            end: revision,
            updated_at: clock::boot_time(),
            ..Inner::default()
        };
        self.changed.notify(usize::MAX);
    }

    /// Clears the buffer when the store is lost, so that followers read the store themselves.
    pub fn invalidate(&self) {
        *self.lock() = Inner::default();
        self.changed.notify(usize::MAX);
    }

    /// Appends the changes after the revision `after` up to `end`.
    pub fn extend(&self, after: Revision, changes: &[Change], end: Revision) {
        let mut inner = self.lock();
        let is_regained = inner.start.is_none();
        if is_regained {
            inner.start = Some(after);
        }
        inner.end = inner.end.max(end);
        inner.updated_at = clock::boot_time();
        if !changes.is_empty() {
            inner.changes += changes.len();
            inner.bytes += changes.iter().map(size).sum::<usize>();
            inner.batches.push_back((end, changes.to_vec()));
        }
        while inner.changes > MAX_CHANGES || inner.bytes > MAX_BYTES {
            let Some((end, oldest)) = inner.batches.pop_front() else {
                break;
            };
            inner.start = Some(end);
            inner.changes -= oldest.len();
            inner.bytes -= oldest.iter().map(size).sum::<usize>();
        }
        drop(inner);
        if is_regained || !changes.is_empty() {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns the changes after the revision `after`.
    #[must_use]
    pub fn changes_since(&self, after: Revision) -> Update {
        let inner = self.lock();
        if inner.start.is_none_or(|start| after < start) {
            return Update::Unknown;
        }
        let unknown = inner.batches.iter().filter(|(end, _)| *end > after);
        let changes: Vec<Change> = unknown.flat_map(|(_, changes)| changes.clone()).collect();
        if changes.is_empty() {
            Update::None
        } else {
            Update::Since(changes, inner.end)
        }
    }

    /// Time since the last response of the store.
    #[must_use]
    pub fn update_age(&self) -> Duration {
        clock::boot_time().saturating_sub(self.lock().updated_at)
    }

    /// Listens for the next change. Create the listener before calling [`Feed::changes_since`], so that no
    /// change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put(item) => item.key.len() + item.value.len(),
        Change::Deleted { key } => key.len(),
    }
}
