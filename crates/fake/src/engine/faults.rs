//! Faults of a stand-in engine.

use serde::Deserialize;
use serde::Serialize;

use agatemill_engine::failure::Code;

/// Faults that are in force. A count says how many of the next steps are affected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Steps that are answered with [`Code::Internal`] and do not run.
    pub fail: u32,
    /// Steps that neither run nor get an answer.
    pub hang: u32,
    /// Steps that run and whose connection is closed without an answer.
    pub lose: u32,
    /// Steps that run and are answered after `late_ms`.
    pub late: u32,
    /// Delay of late answers in milliseconds.
    pub late_ms: u64,
    /// Steps that run and are answered with the answer before, so that it arrives twice.
    pub repeat: u32,
    /// Steps that run and whose answer names another session.
    pub cross: u32,
    /// Steps that run and whose answer names another position.
    pub shift: u32,
    /// Steps that run and whose answer breaks off half way.
    pub cut: u32,
    /// Factor on the time that steps take.
    pub slow: f64,
    /// Steps that are refused with `code` and do not run.
    pub refuse: u32,
    /// Code of refused steps.
    pub code: Code,
    /// Whether the engine takes no new sessions.
    pub drain: bool,
    /// Whether the engine answers nothing but the paths below `/fake/`.
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

/// Takes one from a count of affected steps; false when none is left.
pub(crate) fn take(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
