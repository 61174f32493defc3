//! Exit codes.

use std::process::ExitCode;

/// How a command ended; the value is the exit code. Code 2 is a usage error, given by `clap`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command did what was asked.
    Done = 0,
    /// It failed; nothing that it reports as accepted is undone.
    Failed = 1,
    /// Someone else changed the configuration.
    Conflict = 3,
    /// The document was accepted, but not all live members had it in force in time.
    Pending = 4,
    /// The document has faults; nothing was written.
    Faults = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
