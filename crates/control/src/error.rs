//! Errors at the start of a control.

use core::net::SocketAddr;
use std::io;

use derive_more::Display;
use derive_more::Error;

/// Reason why a control failed to start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Signal handlers cannot be installed.
    #[display("cannot handle termination signals: {_0}")]
    Signals(io::Error),
    /// The settings are not valid.
    #[display("{_0}")]
    Settings(crate::settings::Invalid),
}
