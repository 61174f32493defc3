//! Recent changes of the store, for hosts that follow it through this one.

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

/// Most changes that are kept: some seconds of the changes of a hundred engines. A host that is further
/// behind asks the store.
const MAX_CHANGES: usize = 500;

/// Most bytes of values that are kept, a small part of a host's memory: a series of large configurations
/// must not fill it.
const MAX_BYTES: usize = 4 << 20;

/// Longest time without an answer of the store after which changes are still passed on: the pause of a
/// watch, its wait, and a quarter of a second. A host that hears nothing for longer has lost the store
/// without a sign.
pub const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_300);

/// Recent changes of the store, for hosts that follow it through this one.
#[derive(Debug, Default)]
pub struct Feed {
    inner: Mutex<Inner>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Inner {
    /// Revision from which the changes are whole; `None` while nothing is known or the store is lost.
    start: Option<Revision>,
    /// Revision up to which the changes are whole.
    end: Revision,
    /// Changes of each answer, with the revision at its end. The sums of `changes` and `bytes` are over these.
    batches: VecDeque<(Revision, Vec<Change>)>,
    changes: usize,
    bytes: usize,
    /// When the last answer came, on the clock that runs while the machine is suspended.
    updated_at: Duration,
}

/// What a host that knows everything up to a revision lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// Nothing yet.
    None,
    /// These changes, up to a revision.
    Since(Vec<Change>, Revision),
    /// It is not known.
    Unknown,
}

impl Feed {
    /// Starts anew after everything was read.
    pub fn reset(&self, revision: Revision) {
        *self.lock() = Inner {
            start: Some(revision),
            end: revision,
            updated_at: clock::boot_time(),
            ..Inner::default()
        };
        self.changed.notify(usize::MAX);
    }

    /// Notes that the store is lost, so that followers ask it themselves.
    pub fn invalidate(&self) {
        *self.lock() = Inner::default();
        self.changed.notify(usize::MAX);
    }

    /// Adds the changes after the revision `after` up to `end`.
    pub fn extend(&self, after: Revision, changes: &[Change], end: Revision) {
        let mut inner = self.lock();
        if inner.start.is_none() {
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
        if !changes.is_empty() {
            self.changed.notify(usize::MAX);
        }
    }

    /// What a host that knows everything up to `after` lacks.
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

    /// Time since the last answer.
    #[must_use]
    pub fn update_age(&self) -> Duration {
        clock::boot_time().saturating_sub(self.lock().updated_at)
    }

    /// Waits for the next change; create it before [`Feed::changes_since`] so that none is missed.
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
