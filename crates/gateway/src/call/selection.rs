//! Result of the selection of a server.

use std::sync::Arc;

use agatemill_fleet::Server;

/// Result of the selection of a server.
pub enum Selection {
    /// The server, for which a credit was taken if it has a limit.
    Server(Arc<Server>),
    /// Only servers that have reached their limits are left.
    Limited,
    /// No server is left.
    None,
}
