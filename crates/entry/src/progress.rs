//! Work in progress and the steps of a graceful shutdown.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU32;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Arc;

use smol::channel::Receiver;
use smol::channel::Sender;

/// How often the wait for idleness looks again.
const INTERVAL: Duration = Duration::from_millis(10);

/// Work in progress and the steps of a graceful shutdown.
#[derive(Debug)]
pub struct Progress {
    /// Requests and background writes in progress.
    in_flight: AtomicU32,
    /// Open connections.
    connections: AtomicU32,
    /// Closed when the entry is leaving; nothing is ever sent.
    draining: (Sender<()>, Receiver<()>),
    stopped: AtomicBool,
    /// Closed when connections are to end; nothing is ever sent.
    ending: (Sender<()>, Receiver<()>),
}

/// One piece of work in progress; ends when dropped.
#[derive(Debug)]
pub struct Operation(Arc<Progress>);

/// One open connection; ends when dropped.
#[derive(Debug)]
pub struct Connection(Arc<Progress>);

impl Default for Progress {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            draining: smol::channel::bounded(1),
            stopped: AtomicBool::new(false),
            ending: smol::channel::bounded(1),
        }
    }
}

impl Progress {
    /// Notes that a piece of work begins.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Operation {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Operation(Arc::clone(self))
    }

    /// Notes that a connection is open.
    #[must_use]
    pub fn add_connection(self: &Arc<Self>) -> Connection {
        self.connections.fetch_add(1, Ordering::SeqCst);
        Connection(Arc::clone(self))
    }

    /// Pieces of work in progress.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Open connections.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Whether the entry is leaving: callers are not told its address any longer.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.0.is_closed()
    }

    /// Marks the entry as leaving; returns whether it was not before.
    pub fn start_drain(&self) -> bool {
        self.draining.0.close()
    }

    /// Waits until the entry is leaving.
    pub async fn wait_for_drain(&self) {
        // The channel is empty, so this returns only when it is closed.
        let _ = self.draining.1.recv().await;
    }

    /// Whether connections end after their current answer.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.ending.0.is_closed()
    }

    /// Ends connections after their current answer.
    pub fn close_connections(&self) {
        self.ending.0.close();
    }

    /// Waits until connections are to end.
    pub async fn wait_for_close(&self) {
        // The channel is empty, so this returns only when it is closed.
        let _ = self.ending.1.recv().await;
    }

    /// Whether new work is refused, because the entry has stopped waiting.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Refuses new work.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Waits until nothing is in progress and no connection is open.
    pub async fn wait_until_idle(&self) {
        while self.in_flight() > 0 || self.connections() > 0 {
            agatemill_runtime::sleep(INTERVAL).await;
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
