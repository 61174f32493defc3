//! Answer of a control to a report.

use serde::Deserialize;
use serde::Serialize;

/// Answer of a control to the [`Report`](crate::Report) of its entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instruction {
    /// Whether an operator or the host list asks this host to leave.
    pub drain: bool,
    /// Whether the configuration is known to be the newest, or may be served all the same.
    pub fresh: bool,
    /// Entry hosts that serve callers, at least 1; shares of limits are split among them.
    pub entries: u32,
}
