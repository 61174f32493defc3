//! Everything behind the stand-in's lock.

use core::time::Duration;

use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::platform::Counts;
use crate::platform::Faults;
use crate::platform::counts::Kind;
use crate::platform::faults::Change;
use crate::platform::store::Store;

/// The store with its faults, counts and waiting watches.
#[derive(Debug, Default)]
pub struct State {
    /// The store.
    pub store: Store,
    /// The faults in force.
    pub faults: Faults,
    saved: Option<Store>,
    counts: Counts,
    /// One for each open watch; a message says that there are changes.
    watches: Vec<Sender<()>>,
}

impl State {
    /// Changes the faults.
    pub fn change(&mut self, change: &Change) {
        self.faults.apply(change);
        if change.drop_leases {
            self.store.drop_leases();
            self.notify();
        }
        if self.faults.down {
            self.watches.clear();
        }
    }

    /// Keeps a copy of the store.
    pub fn snapshot(&mut self) {
        self.saved = Some(self.store.clone());
    }

    /// Returns to the last snapshot and ends all watches; `false` when there is no snapshot.
    pub fn restore(&mut self) -> bool {
        let Some(saved) = self.saved.clone() else {
            return false;
        };
        self.store = saved;
        self.watches.clear();
        true
    }

    /// Counts a call.
    pub fn count(&mut self, kind: Kind, now: Duration) {
        self.counts.add(kind, now);
    }

    /// The counts now.
    #[must_use]
    pub fn counts(&mut self) -> Counts {
        self.forget_closed_watches();
        self.counts
    }

    /// Ends the leases whose time has passed.
    pub fn expire(&mut self, now: Duration) {
        let before = self.store.revision;
        self.store.expire(now);
        if self.store.revision != before {
            self.notify();
        }
    }

    /// Adds a watch. Its receiver gets a message when there are changes, and closes when the watch
    /// has to end.
    pub fn watch(&mut self) -> Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        self.forget_closed_watches();
        self.watches.push(sender);
        self.counts.set_waiting(self.watches.len());
        receiver
    }

    /// Tells all watches that there are changes.
    pub fn notify(&mut self) {
        for watch in &self.watches {
            // A full channel holds a message that the watch has not taken yet, which is enough.
            let _ = watch.try_send(());
        }
    }

    fn forget_closed_watches(&mut self) {
        self.watches.retain(|watch| !watch.is_closed());
        self.counts.set_waiting(self.watches.len());
    }
}
