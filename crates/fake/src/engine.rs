//! Fake model engine.
//!
//! Serves the engine API of `docs/design.md` with the model of [`crate::model`]. The paths below `/fake/` work even
//! while the engine is frozen: `POST /fake/faults` sets [`Faults`], where omitted fields take their defaults, and
//! `GET /fake/executions` lists the steps that ran.

pub mod execution;
pub mod faults;
mod handler;
mod input;
mod prefix;
mod queue;
mod scheduler;
mod session;
pub mod settings;
mod state;

use core::net::SocketAddr;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol::Task;
use smol::channel;

use crate::engine::state::State;
use crate::server::Server;

pub use execution::Execution;
pub use faults::Faults;
pub use settings::Settings;

/// State shared by all connections.
pub(crate) type Shared = Arc<Mutex<State>>;

/// A running fake engine. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Shared,
    /// Dropping the task cancels it.
    _scheduler: Task<()>,
}

impl Engine {
    /// Starts an engine at the address of the settings.
    ///
    /// # Errors
    ///
    /// I/O errors of opening the listener.
    pub async fn listen(settings: Settings) -> io::Result<Self> {
        let address = settings.listen;
        let state: Shared = Arc::new(Mutex::new(State::new(settings)));
        let (wake, woken) = channel::bounded(1);
        let shared = Arc::clone(&state);
        let handler = move |request| handler::handle(request, Arc::clone(&shared), wake.clone());
        let server = Server::listen(address, handler).await?;
        let scheduler = scheduler::run(Arc::clone(&state), woken);
        Ok(Self {
            server,
            state,
            _scheduler: agatemill_runtime::spawn(scheduler),
        })
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the active faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Steps that ran, in order of execution.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }

    /// Number of open sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        lock(&self.state).session_count()
    }

    /// Stops immediately, like a killed process.
    pub fn close(self) {
        drop(self);
    }
}

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
