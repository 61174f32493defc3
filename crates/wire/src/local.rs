//! Service of a control for the entry on its host.

use core::time::Duration;

use crate::Directory;
use crate::Envelope;
use crate::Instruction;
use crate::Report;

/// Service of a control for the entry on its host.
#[tarpc::service]
pub trait Local {
    /// Waits for at most `wait` until the control holds a generation above `known`, and returns it.
    async fn follow(known: u64, wait: Duration) -> Option<Envelope>;
    /// Takes the entry's state and says what it shall do.
    async fn report(report: Report) -> Instruction;
    /// Entry hosts that callers may use now.
    async fn directory() -> Directory;
}
