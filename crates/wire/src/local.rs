//! Service of a control for the entry on its host.

use core::time::Duration;

use crate::Directory;
use crate::Envelope;
use crate::Instruction;
use crate::Report;

/// Service of a control for the entry on its host.
#[tarpc::service]
pub trait Local {
    /// Waits at most `wait` until the control has a generation above `known`, and returns it.
    async fn follow(known: u64, wait: Duration) -> Option<Envelope>;
    /// Reports the entry's state and returns the instruction for it.
    async fn report(report: Report) -> Instruction;
    /// Returns the entry hosts that callers may use now.
    async fn directory() -> Directory;
}
