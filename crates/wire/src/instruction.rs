//! Reply of a control to a report.

use serde::Deserialize;
use serde::Serialize;

/// Reply of a control to the [`Report`](crate::Report) of its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instruction {
    /// Whether an operator or the host list requests that this host leave.
    pub drain: bool,
    /// Whether the configuration is known to be the latest, or may be served regardless.
    pub fresh: bool,
    /// Number of entry hosts that serve callers, at least 1; limits are divided among them.
    pub entries: u32,
}
