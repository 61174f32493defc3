//! Faults of a stand-in service.

use serde::Deserialize;
use serde::Serialize;

/// Faults that are in force. A count says how many of the next calls are affected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before a call runs, in milliseconds.
    pub before_ms: u64,
    /// Delay after a call has run, in milliseconds.
    pub after_ms: u64,
    /// Calls that run and whose connection is closed without an answer.
    pub cut: u32,
    /// Calls that are refused with `status` and do not run.
    pub refuse: u32,
    /// Status of refused calls.
    pub status: u16,
}

impl Faults {
    pub(crate) fn take_cut(&mut self) -> bool {
        let taken = self.cut > 0;
        self.cut = self.cut.saturating_sub(1);
        taken
    }

    pub(crate) fn take_refusal(&mut self) -> Option<u16> {
        let taken = self.refuse > 0;
        self.refuse = self.refuse.saturating_sub(1);
        taken.then_some(self.status)
    }
}
