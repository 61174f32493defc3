//! Operations in progress and the phases of a graceful shutdown.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use smol::channel::Receiver;
use smol::channel::Sender;

/// Polling interval of [`Progress::wait_until_idle`].
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Operations in progress and the phases of a graceful shutdown.
#[derive(Debug)]
pub struct Progress {
    /// Requests and background writes in progress.
    in_flight: AtomicU32,
    /// Open connections.
    connections: AtomicU32,
    /// Closed when the drain starts; no value is ever sent.
    draining: (Sender<()>, Receiver<()>),
    stopped: AtomicBool,
    /// Closed when connections must close; no value is ever sent.
    closing: (Sender<()>, Receiver<()>),
}

/// An operation in progress; it ends when dropped.
#[derive(Debug)]
pub struct Operation(Arc<Progress>);

/// An open connection; it is counted until dropped.
#[derive(Debug)]
pub struct Connection(Arc<Progress>);

impl Default for Progress {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            draining: smol::channel::bounded(1),
            stopped: AtomicBool::new(false),
            closing: smol::channel::bounded(1),
        }
    }
}

impl Progress {
    /// Counts a new operation as in progress.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Operation {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Operation(Arc::clone(self))
    }

    /// Counts a new connection as open.
    #[must_use]
    pub fn add_connection(self: &Arc<Self>) -> Connection {
        self.connections.fetch_add(1, Ordering::SeqCst);
        Connection(Arc::clone(self))
    }

    /// Number of operations in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Whether the entry is draining: callers no longer get its address.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.0.is_closed()
    }

    /// Starts the drain; returns false if it had already started.
    pub fn start_drain(&self) -> bool {
        self.draining.0.close()
    }

    /// Waits until the drain starts.
    pub async fn wait_for_drain(&self) {
        // The channel is empty, so this returns only when it is closed.
        let _ = self.draining.1.recv().await;
    }

    /// Whether connections close after their current response.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.0.is_closed()
    }

    /// Closes connections after their current response.
    pub fn close_connections(&self) {
        self.closing.0.close();
    }

    /// Waits until connections must close.
    pub async fn wait_for_close(&self) {
        // The channel is empty, so this returns only when it is closed.
        let _ = self.closing.1.recv().await;
    }

    /// Whether new requests are refused, because the graceful shutdown is over.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Refuses new requests from now on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Waits until no operation is in progress and no connection is open.
    pub async fn wait_until_idle(&self) {
        while self.in_flight() > 0 || self.connections() > 0 {
            agatemill_runtime::sleep(IDLE_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::SeqCst);
    }
}
