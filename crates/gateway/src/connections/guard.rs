//! Guard of an open connection of a listener.

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use smol::channel::Receiver;

use super::Connections;
use crate::table::Id;
use crate::table::Phase;

/// An open connection of a listener. Dropping the last clone records that it is closed. Clones share the connection.
#[derive(Clone, Debug)]
pub struct Guard(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    slot: Slot,
    closed: Receiver<()>,
    /// Why the connection is closed, for the metrics.
    reason: Mutex<&'static str>,
}

/// Place of a connection in the table of its listener.
#[derive(Debug)]
pub struct Slot {
    /// The connections of the listener.
    pub connections: Arc<Connections>,
    /// The connection.
    pub id: Id,
}

impl Guard {
    /// Creates the guard of a connection; `closed` yields when it is to be closed.
    #[must_use]
    pub fn new(slot: Slot, closed: Receiver<()>) -> Self {
        Self(Arc::new(Inner {
            slot,
            closed,
            reason: Mutex::new("ended"),
        }))
    }

    /// Number of the connection.
    #[must_use]
    pub fn id(&self) -> Id {
        self.0.slot.id
    }

    /// Records what the connection is doing.
    pub fn set_phase(&self, phase: Phase) {
        self.0.slot.connections.set_phase(self.id(), phase);
    }

    /// Records that bytes have arrived: the head of a request has begun, unless it is being served already.
    pub fn record_bytes(&self) {
        if matches!(self.phase(), Some((Phase::Idle, _))) {
            self.set_phase(Phase::Head);
        }
    }

    /// What the connection is doing, and since when.
    #[must_use]
    pub fn phase(&self) -> Option<(Phase, Duration)> {
        self.0.slot.connections.lock().table.phase(self.id())
    }

    /// Records why the connection is closed.
    pub fn set_reason(&self, reason: &'static str) {
        *self.0.reason.lock().unwrap_or_else(PoisonError::into_inner) = reason;
    }

    /// Waits until the connection has to be closed to make room for others.
    pub async fn closing(&self) {
        loop {
            if self.0.closed.recv().await.is_err() {
                return;
            }
            // A request may have begun meanwhile.
            let inner = self.0.slot.connections.lock();
            if inner.table.is_closing(self.id()) {
                let phase = inner.table.phase(self.id());
                drop(inner);
                self.set_reason(match phase {
                    Some((Phase::Head, _)) => "head_for_room",
                    _ => "idle_for_room",
                });
                return;
            }
        }
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let reason = *self.reason.lock().unwrap_or_else(PoisonError::into_inner);
        self.slot.connections.close(self.slot.id, reason);
    }
}
