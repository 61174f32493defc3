//! Fake of the platform's key-value service.
//!
//! Serves the part of the etcd v3 JSON gateway that `agatemill_platform::gateway` describes, from memory. The paths
//! below `/fake/` set faults and report counts, even while the service is down:
//!
//! - `POST /fake/faults` applies a [`faults::Change`] and returns the active [`Faults`];
//! - `POST /fake/snapshot` saves a snapshot of the store, and `POST /fake/restore` restores it;
//! - `GET /fake/counts` returns [`Counts`].

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

/// Interval between expiry checks, which bounds how long a lease outlives its TTL.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by all connections.
pub(crate) type Shared = Arc<Mutex<State>>;

/// A running fake platform. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Shared,
    /// Dropping the tasks cancels them.
    _accept: Task<()>,
    _expire: Task<()>,
    /// Dropping the sender closes all connections.
    _running: Sender<()>,
}

impl Platform {
    /// Starts a server at a loopback address; port 0 lets the operating system choose.
    ///
    /// # Errors
    ///
    /// I/O errors of opening the listener.
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

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates a client of this service whose calls time out after `timeout`.
    #[must_use]
    pub fn client(&self, timeout: Duration) -> agatemill_platform::Client {
        agatemill_platform::Client::new(&[self.address], timeout)
    }

    /// Changes the active faults; fields that are `None` keep their values.
    pub fn update_faults(&self, change: &faults::Change) {
        lock(&self.state).update_faults(change);
    }

    /// Saves a snapshot of the store for [`Platform::restore`].
    pub fn snapshot(&self) {
        lock(&self.state).snapshot();
    }

    /// Restores the last snapshot, like a service that has lost data, and ends all watches. Returns `false` if there is
    /// no snapshot.
    #[must_use]
    pub fn restore(&self) -> bool {
        lock(&self.state).restore()
    }

    /// Numbers of calls since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts()
    }

    /// Stops serving.
    pub fn close(self) {
        drop(self);
    }
}

/// Expires leases periodically, so that watches report the deletion of their keys even if no call arrives.
async fn expire(state: Shared) {
    loop {
        agatemill_runtime::sleep(EXPIRY_INTERVAL).await;
        lock(&state).expire(agatemill_runtime::now());
    }
}

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
