//! Injected faults of a fake service.

use serde::Deserialize;
use serde::Serialize;

/// The active faults. A count is the number of subsequent calls that are affected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before a call runs, in milliseconds.
    pub before_ms: u64,
    /// Delay after a call has run, in milliseconds.
    pub after_ms: u64,
    /// Calls that run but whose connection is closed without a response.
    pub cut: u32,
    /// Calls that are rejected with `status` and do not run.
    pub refuse: u32,
    /// HTTP status of rejected calls.
    pub status: u16,
    /// HTTP status of calls that run, if it is not 200.
    pub answer: Option<u16>,
}

impl Faults {
    /// Decrements the count of cut calls; returns whether the call is affected.
    pub(crate) fn consume_cut(&mut self) -> bool {
        let is_affected = self.cut > 0;
        self.cut = self.cut.saturating_sub(1);
        is_affected
    }

    /// Decrements the count of rejected calls; returns the status if the call is affected.
    pub(crate) fn consume_refusal(&mut self) -> Option<u16> {
        let is_affected = self.refuse > 0;
        self.refuse = self.refuse.saturating_sub(1);
        is_affected.then_some(self.status)
    }
}
