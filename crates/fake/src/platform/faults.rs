//! Injected faults of the fake platform.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The active faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Connections are closed without a response, and calls have no effect.
    pub down: bool,
    /// Calls fail with "too many requests" and have no effect.
    pub refuse: bool,
    /// Delay in milliseconds between the effect of a call and its response.
    pub delay_ms: u64,
    /// Number of subsequent writes that take effect but whose responses are lost.
    pub lose_writes: u64,
    /// Number of subsequent writes that take effect but fail with "request timed out".
    pub time_out_writes: u64,
    /// Calls on keys with this prefix take effect but their responses are lost; empty for none.
    pub lose_prefix: String,
}

/// A change of the faults; omitted fields keep their values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Faults::down`].
    pub down: Option<bool>,
    /// See [`Faults::refuse`].
    pub refuse: Option<bool>,
    /// See [`Faults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Faults::lose_writes`].
    pub lose_writes: Option<u64>,
    /// See [`Faults::time_out_writes`].
    pub time_out_writes: Option<u64>,
    /// See [`Faults::lose_prefix`].
    pub lose_prefix: Option<String>,
    /// Ends all leases immediately.
    pub drop_leases: bool,
}

impl Faults {
    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        self.down = change.down.unwrap_or(self.down);
        self.refuse = change.refuse.unwrap_or(self.refuse);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lose_writes = change.lose_writes.unwrap_or(self.lose_writes);
        self.time_out_writes = change.time_out_writes.unwrap_or(self.time_out_writes);
        if let Some(prefix) = &change.lose_prefix {
            self.lose_prefix.clone_from(prefix);
        }
    }

    /// Delay between the effect of a call and its response.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Whether responses to calls on this key are lost.
    #[must_use]
    pub fn loses_response(&self, key: &[u8]) -> bool {
        !self.lose_prefix.is_empty() && key.starts_with(self.lose_prefix.as_bytes())
    }
}
