//! Open connections to backend servers, which show that their processes run.

use core::net::SocketAddrV4;
use std::sync::Arc;

use crate::State;

/// A connection on which a response is received. Dropping it records that it is closed.
#[derive(Debug)]
pub struct Connection {
    state: Arc<State>,
    server: SocketAddrV4,
}

impl Connection {
    /// Records an open connection to a server.
    #[must_use]
    pub fn open(state: &Arc<State>, server: SocketAddrV4) -> Self {
        state.suspicion().record_open(server);
        Self {
            state: Arc::clone(state),
            server,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.state.suspicion().record_close(&self.server);
    }
}
