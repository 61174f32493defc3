//! Timings of a control process.

use serde::Deserialize;
use serde::Serialize;

use crate::settings::Invalid;
use crate::settings::expected;
use agatemill_core::quantity::Time;

/// Timings of a control process, `[timings]`. Every key is optional.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timings {
    /// Time between two rounds of probes.
    pub probe_interval: Time,
    /// Timeout of a direct probe.
    pub direct_timeout: Time,
    /// Additional timeout of the indirect probes that follow.
    pub indirect_timeout: Time,
    /// Time in which a suspected member can refute the suspicion, for up to ten members.
    pub suspicion: Time,
    /// Time for which dead members are retained.
    pub retention: Time,
    /// Time between two full membership exchanges.
    pub sync_interval: Time,
    /// Timeout of a call to another control.
    pub call_timeout: Time,
    /// Timeout of a call to the platform.
    pub platform_timeout: Time,
    /// Time between two reads that confirm the configuration.
    pub confirm_interval: Time,
    /// Maximum age of the last report of the entry; the entry counts as absent after that.
    pub report_limit: Time,
    /// Maximum time for which a stopping control waits for its entry to disconnect.
    pub stop_limit: Time,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            probe_interval: Time::from_millis(500),
            direct_timeout: Time::from_millis(200),
            indirect_timeout: Time::from_millis(300),
            suspicion: Time::from_millis(1_500),
            retention: Time::from_millis(300_000),
            sync_interval: Time::from_millis(30_000),
            call_timeout: Time::from_millis(1_000),
            platform_timeout: Time::from_millis(1_000),
            confirm_interval: Time::from_millis(3_000),
            report_limit: Time::from_millis(1_500),
            stop_limit: Time::from_millis(60_000),
        }
    }
}

impl Timings {
    /// Checks that no interval is 0.
    ///
    /// # Errors
    ///
    /// [`Invalid::Value`] for the first value outside its range.
    pub fn check(&self) -> Result<(), Invalid> {
        let values = [
            ("timings.probe_interval", self.probe_interval),
            ("timings.direct_timeout", self.direct_timeout),
            ("timings.indirect_timeout", self.indirect_timeout),
            ("timings.suspicion", self.suspicion),
            ("timings.sync_interval", self.sync_interval),
            ("timings.call_timeout", self.call_timeout),
            ("timings.platform_timeout", self.platform_timeout),
            ("timings.confirm_interval", self.confirm_interval),
            ("timings.report_limit", self.report_limit),
        ];
        match values.iter().find(|(_, value)| value.as_millis() == 0) {
            Some((key, _)) => Err(expected(key, "a time above 0ms")),
            None => Ok(()),
        }
    }

    /// Settings of the failure detector.
    #[must_use]
    pub fn membership(&self) -> agatemill_membership::Settings {
        agatemill_membership::Settings {
            probe_interval: self.probe_interval.to_duration(),
            direct_timeout: self.direct_timeout.to_duration(),
            indirect_timeout: self.indirect_timeout.to_duration(),
            suspicion: self.suspicion.to_duration(),
            retention: self.retention.to_duration(),
            ..agatemill_membership::Settings::default()
        }
    }
}
