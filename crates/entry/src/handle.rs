//! A running entry.

use core::net::SocketAddr;
use std::sync::Arc;

use smol::Task;

use crate::configuration::Rejection;
use crate::shutdown;
use crate::state::State;
use agatemill_config::Envelope;

/// A running entry. Dropping it stops it at once; [`Handle::close`] lets it finish its work.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    server: Task<()>,
    /// Tasks end when they are dropped.
    _tasks: Vec<Task<()>>,
}

impl Handle {
    pub(crate) fn new(
        address: SocketAddr,
        state: Arc<State>,
        server: Task<()>,
        tasks: Vec<Task<()>>,
    ) -> Self {
        Self {
            address,
            state,
            server,
            _tasks: tasks,
        }
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// State of the entry.
    #[must_use]
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Gives the entry a configuration, as its control would.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when it is older than the one in force or does not parse.
    pub fn accept(&self, envelope: &Envelope) -> Result<(), Rejection> {
        self.state.accept(envelope)
    }

    /// Waits until the control tells the entry to leave.
    pub async fn wait_for_drain(&self) {
        self.state.progress.wait_for_drain().await;
    }

    /// Shuts down gracefully: leaves the directory, goes on until callers have forgotten the address, and
    /// finishes all work. Returns whether everything ended within the drain limit.
    pub async fn close(self) -> bool {
        shutdown::run(&self.state, self.server).await
    }
}
