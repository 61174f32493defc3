//! Buffer of recent store changes, for hosts that follow the store through this one.

pub mod remote;
pub mod serve;

use core::time::Duration;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;
use event_listener::EventListener;

use crate::clock;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Item;
use agatemill_core::number::Era;
use agatemill_core::number::Revision;
use agatemill_fleet::history::Cursor;
use agatemill_wire::feed;

/// Maximum number of buffered changes: a few seconds of changes of a hundred engines. A host that is further
/// behind reads the store itself.
const MAX_CHANGES: usize = 500;

/// Maximum size of the buffered changes, in bytes: a small part of a host's memory, so that a series of large
/// configurations does not fill it.
const MAX_BYTES: usize = 4 << 20;

/// Maximum size of all items that are sent to a host at once, in bytes; below the limit of a message between hosts.
const MAX_WHOLE_BYTES: usize = 3 << 20;

/// Buffer of recent store changes, for hosts that follow the store through this one.
#[derive(Debug, Default)]
pub struct Feed {
    inner: Mutex<Inner>,
    changed: Event,
}

#[derive(Debug, Default)]
struct Inner {
    /// Whether the store was read.
    has_items: bool,
    /// Whether the store was read and is not lost.
    is_current: bool,
    /// All items of the store at the state `end`.
    items: BTreeMap<String, Item>,
    /// State after which all changes are buffered.
    start: Cursor,
    /// State up to which all changes are buffered; of the same era as `start`.
    end: Cursor,
    /// Changes of each response of the store, with its state. `changes` and `bytes` are the totals over all
    /// batches.
    batches: VecDeque<(Cursor, Vec<Change>)>,
    changes: usize,
    bytes: usize,
    /// Time of the last response, on the clock that keeps running during suspend.
    updated_at: Duration,
}

/// Changes after a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// No changes yet.
    None,
    /// Changes, and the state up to which they are complete.
    Since(Vec<Change>, Cursor),
    /// All items, since the buffer does not reach back to the state, and their state.
    Whole(Vec<Item>, Cursor),
    /// The store is lost, the buffer is of an earlier era, or the items are too large for a message.
    Unknown,
}

impl Feed {
    /// Restarts the buffer with all items of the store at a state, and returns the changes from the former ones.
    #[must_use]
    pub fn reset(&self, items: Vec<Item>, cursor: Cursor) -> Vec<Change> {
        let items = items.into_iter().map(|item| (item.key.clone(), item));
        let items: BTreeMap<String, Item> = items.collect();
        let mut inner = self.lock();
        let former = core::mem::take(&mut inner.items);
        let changes = difference(&former, &items);
        *inner = Inner {
            has_items: true,
            is_current: true,
            items,
            start: cursor,
            end: cursor,
            updated_at: clock::boot_time(),
            ..Inner::default()
        };
        drop(inner);
        self.changed.notify(usize::MAX);
        changes
    }

    /// Supplies no changes until the store responds again.
    pub fn suspend(&self) {
        self.lock().is_current = false;
        self.changed.notify(usize::MAX);
    }

    /// Appends the changes after the end of the buffer up to `end`.
    pub fn extend(&self, changes: &[Change], end: Cursor) {
        let mut inner = self.lock();
        let is_regained = !inner.is_current;
        inner.is_current = true;
        inner.end = inner.end.max(end);
        inner.updated_at = clock::boot_time();
        for change in changes {
            match change {
                Change::Put(item) => inner.items.insert(item.key.clone(), item.clone()),
                Change::Deleted { key } => inner.items.remove(key),
            };
        }
        if !changes.is_empty() {
            inner.changes += changes.len();
            inner.bytes += changes.iter().map(size).sum::<usize>();
            inner.batches.push_back((end, changes.to_vec()));
        }
        while inner.changes > MAX_CHANGES || inner.bytes > MAX_BYTES {
            let Some((end, oldest)) = inner.batches.pop_front() else {
                break;
            };
            inner.start = end;
            inner.changes -= oldest.len();
            inner.bytes -= oldest.iter().map(size).sum::<usize>();
        }
        drop(inner);
        if is_regained || !changes.is_empty() {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns the changes after the state `after`.
    #[must_use]
    pub fn changes_since(&self, after: Cursor) -> Update {
        let inner = self.lock();
        if !inner.is_current || after.era > inner.end.era {
            return Update::Unknown;
        }
        if after < inner.start {
            return inner.whole();
        }
        let unknown = inner.batches.iter().filter(|(end, _)| *end > after);
        let changes: Vec<Change> = unknown.flat_map(|(_, changes)| changes.clone()).collect();
        if changes.is_empty() {
            Update::None
        } else {
            Update::Since(changes, inner.end)
        }
    }

    /// Era of the items; `None` before the first snapshot.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        let inner = self.lock();
        inner.has_items.then_some(inner.end.era)
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

impl Inner {
    fn whole(&self) -> Update {
        let bytes: usize = self.items.values().map(item_size).sum();
        if bytes > MAX_WHOLE_BYTES {
            return Update::Unknown;
        }
        Update::Whole(self.items.values().cloned().collect(), self.end)
    }
}

/// Changes that lead from former items to new ones.
fn difference(former: &BTreeMap<String, Item>, new: &BTreeMap<String, Item>) -> Vec<Change> {
    let puts = new
        .values()
        .filter(|item| former.get(&item.key) != Some(item));
    let gone = former.keys().filter(|key| !new.contains_key(*key));
    let deletions = gone.map(|key| Change::Deleted { key: key.clone() });
    puts.cloned().map(Change::Put).chain(deletions).collect()
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put(item) => item_size(item),
        Change::Deleted { key } => key.len(),
    }
}

fn item_size(item: &Item) -> usize {
    item.key.len() + item.value.len()
}

fn to_wire(cursor: Cursor) -> feed::Cursor {
    feed::Cursor {
        era: cursor.era.0,
        revision: cursor.revision.0,
    }
}

fn from_wire(cursor: feed::Cursor) -> Cursor {
    Cursor {
        era: Era(cursor.era),
        revision: Revision(cursor.revision),
    }
}
