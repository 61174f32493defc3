//! A running entry.

use core::net::SocketAddr;
use std::sync::Arc;

use smol::Task;

use crate::configuration::Rejection;
use crate::shutdown;
use crate::state::State;
use agatemill_config::Envelope;

/// A running entry. Dropping it stops the entry at once; [`Handle::close`] shuts it down gracefully.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    server: Task<()>,
    /// Background tasks; dropping a task cancels it.
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

    /// Offers a configuration to the entry, as its control would.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when the configuration is older than the active one, conflicts with it or is not valid.
    pub fn accept(&self, envelope: &Envelope) -> Result<(), Rejection> {
        self.state.accept(envelope)
    }

    /// Waits until the entry starts to drain, for example at the request of the control.
    pub async fn wait_for_drain(&self) {
        self.state.progress.wait_for_drain().await;
    }

    /// Shuts down gracefully: leaves the directory, serves until the address has expired at callers, and
    /// completes all operations. Returns whether all of this ended within the drain limit.
    pub async fn close(self) -> bool {
        shutdown::run(&self.state, self.server).await
    }
}
