//! Errors of the entry process.

use core::net::SocketAddr;
use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::settings;

/// Error that prevents an entry from running.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The settings file cannot be read.
    #[display("{_0}")]
    File(agatemill_config::settings::Error),
    /// A setting is invalid.
    #[display("settings: {_0}")]
    Setting(settings::Error),
    /// The address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    #[from(skip)]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(agatemill_metrics::registry::Error),
    /// The handlers of termination signals cannot be installed.
    #[display("cannot handle termination signals: {_0}")]
    #[from(skip)]
    Signals(io::Error),
}
