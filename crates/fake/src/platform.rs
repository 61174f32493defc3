//! Stand-in for the platform's key-value service.
//!
//! It speaks the etcd v3 JSON gateway, as far as `agatemill_platform::gateway` describes it, and keeps
//! everything in memory. The paths below `/fake/` set faults and give counts, also while it is down:
//!
//! - `POST /fake/faults` takes a [`faults::Change`] and answers with the [`Faults`] in force;
//! - `POST /fake/snapshot` and `POST /fake/restore` keep the store and return to it;
//! - `GET /fake/counts` answers with [`Counts`].

pub mod counts;
pub mod faults;
mod gateway;
mod leases;
mod server;
mod state;
mod store;
mod watcher;

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::Task;
use smol::channel;
use smol::channel::Sender;
use smol::net::TcpListener;

use crate::platform::state::State;

pub use counts::Counts;
pub use faults::Faults;

/// Longest time by which a lease outlives its end.
const EXPIRY_PERIOD: Duration = Duration::from_millis(20);

/// State that all connections share.
pub(crate) type Shared = Arc<Mutex<State>>;

/// A running stand-in. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Shared,
    /// Tasks end when they are dropped.
    _accept: Task<()>,
    _expire: Task<()>,
    /// Connections end when this sender is dropped.
    _running: Sender<()>,
}

impl Platform {
    /// Serves at a loopback address; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// Any error of opening the listener.
    pub async fn listen(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Shared::default();
        let (running, stopped) = channel::bounded(1);
        let accept = server::accept(listener, Arc::clone(&state), stopped);
        Ok(Self {
            address,
            _accept: agatemill_runtime::spawn(accept),
            _expire: agatemill_runtime::spawn(expire(Arc::clone(&state))),
            _running: running,
            state,
        })
    }

    /// The address that it serves at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A client of this stand-in whose calls take at most `timeout`.
    #[must_use]
    pub fn client(&self, timeout: Duration) -> agatemill_platform::Client {
        agatemill_platform::Client::new(&[self.address], timeout)
    }

    /// Changes the faults; fields that are `None` stay as they are.
    pub fn update_faults(&self, change: &faults::Change) {
        lock(&self.state).change(change);
    }

    /// Keeps a copy of the store for [`Platform::restore`].
    pub fn snapshot(&self) {
        lock(&self.state).snapshot();
    }

    /// Returns to the last snapshot, as a service that has lost data does, and ends all watches.
    /// Gives `false` when there is no snapshot.
    #[must_use]
    pub fn restore(&self) -> bool {
        lock(&self.state).restore()
    }

    /// Calls since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts()
    }

    /// Stops serving.
    pub fn close(self) {
        drop(self);
    }
}

/// Ends leases in time, so that watches report the deletion of their keys without a call.
async fn expire(state: Shared) {
    loop {
        agatemill_runtime::sleep(EXPIRY_PERIOD).await;
        lock(&state).expire(agatemill_runtime::now());
    }
}

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
