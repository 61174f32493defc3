//! Errors of the commands.

use core::net::SocketAddr;
use std::io;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::exit::Exit;
use agatemill_config::Faults;
use agatemill_core::id;

/// Error of a command.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A document could not be read.
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A document has faults.
    #[display("{name} has {} fault(s):\n{faults}", faults.as_slice().len())]
    #[from(skip)]
    Faults {
        /// File or environment.
        name: String,
        /// All faults of the document.
        #[error(not(source))]
        faults: Faults,
    },
    /// The platform returned no usable response.
    Platform(agatemill_platform::Error),
    /// The value of the configuration key is not an envelope.
    #[display("the value of the platform's key is not a configuration: {_0}")]
    Envelope(serde_json::Error),
    /// A call to a control failed.
    #[display("control {address}: {reason}")]
    #[from(skip)]
    Control {
        /// Address of the control.
        address: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The control does not serve the target environment.
    #[display("the control serves environment {found}, not {expected}")]
    #[from(skip)]
    EnvironmentMismatch {
        /// Environment of the control.
        found: id::Environment,
        /// Environment of the command.
        expected: id::Environment,
    },
    /// The environment has no document.
    #[display("environment {_0} has no document")]
    #[from(skip)]
    NoDocument(#[error(not(source))] id::Environment),
}

impl Error {
    /// Exit code for this error.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Faults { .. } => Exit::Faults,
            _ => Exit::Failed,
        }
    }
}
