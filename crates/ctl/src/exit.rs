//! Exit codes.

use std::process::ExitCode;

/// Result of a command; the discriminant is the exit code. `clap` exits with code 2 on usage errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed; a change that it reported as accepted stays accepted.
    Failed = 1,
    /// The change conflicts with another change of the configuration.
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
