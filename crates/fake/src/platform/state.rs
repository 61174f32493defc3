//! State of the fake platform.

use core::time::Duration;

use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::platform::Counts;
use crate::platform::Faults;
use crate::platform::counts::Kind;
use crate::platform::faults::Change;
use crate::platform::store::Store;

/// The store with its faults, counters and open watches.
#[derive(Debug, Default)]
pub struct State {
    /// The store.
    pub store: Store,
    /// The active faults.
    pub faults: Faults,
    snapshot: Option<Store>,
    counts: Counts,
    /// One sender for each open watch; a message signals changes.
    watches: Vec<Sender<()>>,
}

impl State {
    /// Changes the active faults.
    pub fn update_faults(&mut self, change: &Change) {
        self.faults.apply(change);
        if change.drop_leases {
            self.store.drop_leases();
            self.notify();
        }
        if self.faults.down {
            self.watches.clear();
        }
    }

    /// Saves a snapshot of the store.
    pub fn snapshot(&mut self) {
        self.snapshot = Some(self.store.clone());
    }

    /// Restores the last snapshot and ends all watches; returns `false` if there is no snapshot.
    pub fn restore(&mut self) -> bool {
        let Some(snapshot) = self.snapshot.clone() else {
            return false;
        };
        self.store = snapshot;
        self.watches.clear();
        true
    }

    /// Counts a call.
    pub fn count_call(&mut self, kind: Kind, now: Duration) {
        self.counts.add(kind, now);
    }

    /// Current counters.
    #[must_use]
    pub fn counts(&mut self) -> Counts {
        self.remove_closed_watches();
        self.counts
    }

    /// Ends the expired leases.
    pub fn expire(&mut self, now: Duration) {
        let before = self.store.revision;
        self.store.expire(now);
        if self.store.revision != before {
            self.notify();
        }
    }

    /// Adds a watch. Its receiver gets a message on changes and closes when the watch must end.
    pub fn add_watch(&mut self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        self.remove_closed_watches();
        self.watches.push(sender);
        self.counts.set_open_watches(self.watches.len());
        receiver
    }

    /// Notifies all watches of changes.
    pub fn notify(&mut self) {
        for watch in &self.watches {
            // If the channel is full, the watch has a pending notification, which suffices.
            let _ = watch.try_send(());
        }
    }

    fn remove_closed_watches(&mut self) {
        self.watches.retain(|watch| !watch.is_closed());
        self.counts.set_open_watches(self.watches.len());
    }
}
