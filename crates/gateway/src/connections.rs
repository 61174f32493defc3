//! The open connections of one listener.

pub mod guard;

use core::net::IpAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use event_listener::Event;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::State;
use crate::purpose;
use crate::purpose::Purpose;
use crate::table::Id;
use crate::table::Phase;
use crate::table::Room;
use crate::table::Table;
use agatemill_fleet::LogLimit;

pub use guard::Guard;

/// Interval at which a full listener checks for room, in case that its share was raised meanwhile.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The open connections of one listener. They take at most the share of its purpose of the descriptors.
#[derive(Debug)]
pub struct Connections {
    state: Arc<State>,
    purpose: Purpose,
    inner: Mutex<Inner>,
    /// Notified when a connection is closed or may be closed.
    changed: Event,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    /// Wakes the task of each connection when it is to be closed.
    closers: HashMap<Id, Sender<()>>,
    full_log: LogLimit,
}

impl Connections {
    /// Creates the empty table of a listener.
    #[must_use]
    pub fn new(state: Arc<State>, purpose: Purpose) -> Arc<Self> {
        let inner = Inner {
            table: Table::new(max(&state, purpose)),
            closers: HashMap::new(),
            full_log: LogLimit::default(),
        };
        Arc::new(Self {
            state,
            purpose,
            inner: Mutex::new(inner),
            changed: Event::new(),
        })
    }

    /// Adds a connection that was accepted, and waits until there is room for it. `None` if it is to be closed.
    pub async fn admit(self: &Arc<Self>, address: IpAddr) -> Option<Guard> {
        let (guard, closed) = self.open(address);
        let guard = Guard::new(guard, closed);
        loop {
            let change = self.changed.listen();
            let room = {
                let mut inner = self.lock();
                let max = max(&self.state, self.purpose);
                inner.table.set_max(max);
                inner.table.make_room(guard.id())
            };
            match room {
                Room::Free => return Some(guard),
                Room::Close(victim) => self.begin_closing(victim),
                Room::Wait => {
                    agatemill_runtime::timeout(ROOM_CHECK_INTERVAL, change).await;
                }
                Room::Refuse => {
                    self.log_full(address, "all connections of the address have requests");
                    guard.set_reason("address_full");
                    return None;
                }
            }
        }
    }

    fn open(self: &Arc<Self>, address: IpAddr) -> (guard::Slot, Receiver<()>) {
        let (sender, closed) = channel::bounded(1);
        let mut inner = self.lock();
        let id = inner.table.open(address, agatemill_runtime::now());
        inner.closers.insert(id, sender);
        drop(inner);
        self.state.metrics.open_connection(self.purpose.as_str());
        let connections = Arc::clone(self);
        (guard::Slot { connections, id }, closed)
    }

    fn begin_closing(&self, id: Id) {
        let inner = self.lock();
        let phase = inner.table.phase(id);
        let closer = inner.closers.get(&id).cloned();
        let count = inner.table.len();
        drop(inner);
        if let Some(closer) = closer {
            // A wake-up that is still pending is enough.
            let _ = closer.try_send(());
        }
        if let Some((phase, since)) = phase {
            let ms = agatemill_runtime::now().saturating_sub(since).as_millis();
            let mut inner = self.lock();
            if inner.full_log.admits(agatemill_runtime::now()) {
                log::warn!(purpose:% = self.purpose, count, phase:?, ms = u64::try_from(ms).unwrap_or(u64::MAX); "server: table full, connection closed");
            }
        }
    }

    fn log_full(&self, address: IpAddr, reason: &'static str) {
        let mut inner = self.lock();
        let count = inner.table.len();
        if inner.full_log.admits(agatemill_runtime::now()) {
            log::warn!(purpose:% = self.purpose, count, address:%, reason; "server: connection refused");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each update of the table is one call under the lock.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_phase(&self, id: Id, phase: Phase) {
        let now = agatemill_runtime::now();
        self.lock().table.set_phase(id, phase, now);
        if phase != Phase::Busy {
            self.changed.notify(usize::MAX);
        }
    }

    fn close(&self, id: Id, reason: &'static str) {
        let mut inner = self.lock();
        inner.table.remove(id);
        inner.closers.remove(&id);
        drop(inner);
        self.state.metrics.close_connection(self.purpose.as_str());
        self.state.metrics.count_closed_connection(reason);
        self.changed.notify(usize::MAX);
    }
}

/// Maximum number of connections of a purpose with the settings in force.
fn max(state: &State, purpose: Purpose) -> usize {
    let descriptors = state.settings().descriptors;
    purpose.share(descriptors.unwrap_or(purpose::DEFAULT_DESCRIPTORS))
}
