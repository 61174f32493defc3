//! Stand-in for a model engine.
//!
//! It serves the engine calls of `docs/design.md` with the model of [`crate::model`]. The paths below
//! `/fake/` work also while it is frozen: `POST /fake/faults` sets [`Faults`], with the default for each
//! field left out, and `GET /fake/executions` lists what ran.

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

/// State that all connections share.
pub(crate) type Shared = Arc<Mutex<State>>;

/// A running stand-in. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Shared,
    /// The task ends when it is dropped.
    _scheduler: Task<()>,
}

impl Engine {
    /// Serves at the address of the settings.
    ///
    /// # Errors
    ///
    /// Any error of opening the listener.
    pub async fn listen(settings: Settings) -> io::Result<Self> {
        let address = settings.listen;
        let state: Shared = Arc::new(Mutex::new(State::new(settings)));
        let (wake, work) = channel::bounded(1);
        let shared = Arc::clone(&state);
        let handler = move |request| handler::answer(request, Arc::clone(&shared), wake.clone());
        let server = Server::listen(address, handler).await?;
        let scheduler = scheduler::run(Arc::clone(&state), work);
        Ok(Self {
            server,
            state,
            _scheduler: agatemill_runtime::spawn(scheduler),
        })
    }

    /// The address that it serves at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults in force.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Steps that ran, in their order.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }

    /// Number of open sessions.
    #[must_use]
    pub fn sessions(&self) -> usize {
        lock(&self.state).open()
    }

    /// Stops at once, as a process that is killed.
    pub fn close(self) {
        drop(self);
    }
}

pub(crate) fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
