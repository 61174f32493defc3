//! Errors that prevent the process from starting or end it.

use core::net::SocketAddrV4;
use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::supervise::Failure;

/// Why the process cannot start, or ends.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file could not be loaded.
    #[display("{_0}")]
    Settings(agatemill_config::settings::Error),
    /// A setting is out of range.
    #[display("setting {key}: {reason}")]
    #[from(skip)]
    Invalid {
        /// Key in the settings file.
        key: &'static str,
        /// Expected range.
        reason: &'static str,
    },
    /// An address could not be bound.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The signal handlers could not be installed.
    #[display("signals: {_0}")]
    #[from(skip)]
    Signals(io::Error),
    /// A task ended without which the process must not go on.
    #[display("{_0}")]
    Task(Failure),
    /// The metrics could not be set up.
    #[display("{_0}")]
    Metrics(agatemill_metrics::registry::Error),
}
