//! Injected faults of a fake engine.

use serde::Deserialize;
use serde::Serialize;

use agatemill_engine::failure::Code;

/// The active faults. A count is the number of subsequent steps that are affected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Steps that fail with [`Code::Internal`] and do not run.
    pub fail: u32,
    /// Steps that neither run nor get a response.
    pub hang: u32,
    /// Steps that run but whose connection is closed without a response.
    pub lose: u32,
    /// Steps that run and whose response is delayed by `late_ms`.
    pub late: u32,
    /// Delay of late responses in milliseconds.
    pub late_ms: u64,
    /// Steps that run but return the previous reply again.
    pub repeat: u32,
    /// Steps that run but whose reply carries another session.
    pub cross: u32,
    /// Steps that run but whose reply carries another position.
    pub shift: u32,
    /// Steps that run but whose response ends after half of its body.
    pub cut: u32,
    /// Factor on the duration of steps.
    pub slow: f64,
    /// Steps that are rejected with `code` and do not run.
    pub refuse: u32,
    /// Failure code of rejected steps.
    pub code: Code,
    /// Whether the engine rejects new sessions.
    pub drain: bool,
    /// Whether the engine responds only to paths below `/fake/`.
    pub freeze: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail: 0,
            hang: 0,
            lose: 0,
            late: 0,
            late_ms: 0,
            repeat: 0,
            cross: 0,
            shift: 0,
            cut: 0,
            slow: 1.0,
            refuse: 0,
            code: Code::Overloaded,
            drain: false,
            freeze: false,
        }
    }
}

/// Decrements a count of affected steps; returns whether the step is affected.
pub(crate) fn consume(count: &mut u32) -> bool {
    let is_affected = *count > 0;
    *count = count.saturating_sub(1);
    is_affected
}
