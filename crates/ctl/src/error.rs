//! Errors of commands.

use core::net::SocketAddr;
use std::io;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::exit::Exit;
use agatemill_config::Faults;
use agatemill_core::id;

/// Why a command failed.
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
        /// All of them.
        #[error(not(source))]
        faults: Faults,
    },
    /// The platform gave no usable answer.
    Platform(agatemill_platform::Error),
    /// The value of the platform's key is no envelope.
    #[display("the value of the platform's key is not a configuration: {_0}")]
    Envelope(serde_json::Error),
    /// No control could be asked.
    #[display("control {address}: {reason}")]
    #[from(skip)]
    Control {
        /// Address that was tried.
        address: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The control serves another environment than the one that is changed.
    #[display("the control serves environment {found}, not {expected}")]
    #[from(skip)]
    Environment {
        /// Environment of the control.
        found: id::Environment,
        /// Environment of the command.
        expected: id::Environment,
    },
    /// The environment has no document.
    #[display("environment {_0} has no document")]
    #[from(skip)]
    Empty(#[error(not(source))] id::Environment),
}

impl Error {
    /// Exit code of the command that failed.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Faults { .. } => Exit::Faults,
            _ => Exit::Failed,
        }
    }
}
