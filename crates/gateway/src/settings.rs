//! Settings of the gateway.

use core::net::SocketAddrV4;
use core::ops::RangeInclusive;
use core::time::Duration;
use std::path::Path;

use serde::Deserialize;

use crate::Error;
use agatemill_core::id;
use agatemill_core::quantity::Bandwidth;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;
use agatemill_fleet::Capacity;
use agatemill_fleet::budget::Allowance;
use agatemill_fleet::upstream::timing;
use agatemill_fleet::upstream::timing::Timing;

/// Settings of the gateway, read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: id::Host,
    /// Availability zone of this host.
    pub zone: id::Zone,
    /// Listen address for callers; also the address that the directory returns.
    pub callers: SocketAddrV4,
    /// Listen address for readiness checks of the platform.
    pub ready: SocketAddrV4,
    /// Listen address of the directory, which resolves host addresses for callers.
    pub directory: SocketAddrV4,
    /// Listen address for metrics.
    pub metrics: SocketAddrV4,
    /// Address on which other hosts send gossip datagrams and connect to follow the store.
    pub exchange: SocketAddrV4,
    /// Address of the platform's key-value store.
    pub store: SocketAddrV4,
    /// Time for which callers may cache the directory's response.
    #[serde(default = "directory_lifetime")]
    pub directory_lifetime: Time,
    /// Whether the system starts for the first time, so that no earlier process of this host has sent retries.
    #[serde(default)]
    pub first_start: bool,
    /// Throughput of this host's link; zero if unknown.
    #[serde(default)]
    pub link: Bandwidth,
    /// Processors that this process may use, such as 0.25; zero if unknown.
    #[serde(default)]
    pub processors: f64,
    /// Memory of the machine or container; a process that exceeds it is killed. Without it, that of the smallest machine
    /// is assumed.
    pub memory: Option<Size>,
    /// Maximum number of descriptors that this process may have open, including those of files.
    pub descriptors: Option<u32>,
    /// Limits set by the operator of the platform.
    pub bounds: Bounds,
}

/// Limits set by the operator of the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Retries that a service gets for each request.
    pub retry_ratio: f64,
    /// Retries that a service gets in each window in addition.
    pub retry_base: f64,
    /// Length of the retry window.
    pub retry_window: Time,
    /// Time within which a confirmed configuration must be in force at every host.
    #[serde(default = "configuration_bound")]
    pub configuration: Time,
    /// Time for which a revoked key may still be accepted.
    pub revocation: Time,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Time,
}

/// Range of [`Settings::memory`]. The program and the view alone take more than half of the lower bound.
const MEMORY_RANGE: RangeInclusive<Size> = Size(64_000_000)..=Size(1 << 40);

/// Range of [`Settings::descriptors`]. The listeners, the log and the connections to the store take some dozens.
const DESCRIPTOR_RANGE: RangeInclusive<u32> = 64..=1 << 20;

/// Default of [`Settings::directory_lifetime`]: short, since callers use the address of a dead host until it
/// expires.
fn directory_lifetime() -> Time {
    Time::from_millis(2_000)
}

/// Maximum bound on learning of a change, as a share of the age at which the view is too old for keys.
const MAX_FOLLOWING_SHARE: f64 = 0.45;

/// Default of [`Bounds::configuration`].
fn configuration_bound() -> Time {
    Time::from_millis(timing::DEFAULT_BOUND_MS)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] when the file cannot be read or parsed, [`Error::Invalid`] when a value is out
    /// of range.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let settings: Self = agatemill_config::settings::load(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// What this host has for duties that it performs for others.
    #[must_use]
    pub fn capacity(&self) -> Capacity {
        // Checked to be finite and not negative; the conversion saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let processor_permille = (self.processors * 1_000.0).round() as u32;
        Capacity {
            link: self.link,
            processor_permille,
        }
    }

    fn check(&self) -> Result<(), Error> {
        let bounds = &self.bounds;
        let ratio = bounds.retry_ratio.is_finite() && bounds.retry_ratio >= 0.0;
        let base = bounds.retry_base.is_finite() && bounds.retry_base >= 0.0;
        let processors = self.processors.is_finite() && self.processors >= 0.0;
        let memory = self
            .memory
            .is_none_or(|memory| MEMORY_RANGE.contains(&memory));
        let descriptors = self
            .descriptors
            .is_none_or(|number| DESCRIPTOR_RANGE.contains(&number));
        let positive = "a time above 0 is expected";
        let checks = [
            (processors, "processors", "a number from 0 is expected"),
            (memory, "memory", "a size from 64MB to 1024GiB is expected"),
            (
                descriptors,
                "descriptors",
                "a number from 64 to 1048576 is expected",
            ),
            (ratio, "bounds.retry_ratio", "a number from 0 is expected"),
            (base, "bounds.retry_base", "a number from 0 is expected"),
            (
                !bounds.retry_window.to_duration().is_zero(),
                "bounds.retry_window",
                positive,
            ),
            (
                !bounds.configuration.to_duration().is_zero(),
                "bounds.configuration",
                positive,
            ),
            (
                !bounds.revocation.to_duration().is_zero(),
                "bounds.revocation",
                positive,
            ),
            (
                !bounds.grace.to_duration().is_zero(),
                "bounds.grace",
                positive,
            ),
            (
                !self.directory_lifetime.to_duration().is_zero(),
                "directory_lifetime",
                positive,
            ),
        ];
        match checks.into_iter().find(|(is_valid, _, _)| !is_valid) {
            Some((_, key, reason)) => Err(Error::Invalid { key, reason }),
            None => Ok(()),
        }
    }
}

impl Bounds {
    /// Retry allowance of each service.
    #[must_use]
    pub fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.retry_ratio,
            base: self.retry_base,
            window: self.retry_window.to_duration(),
        }
    }

    /// Times of the calls through which a host learns of changes. They also bound how old a view is when the store is lost,
    /// and with it for how long requests with keys are served without the store.
    #[must_use]
    pub fn timing(&self) -> Timing {
        let for_keys = self.freshness_limit().mul_f64(MAX_FOLLOWING_SHARE);
        Timing::new(self.configuration.to_duration().min(for_keys))
    }

    /// Maximum age of the view for requests with keys: less than the revocation time, because a request is in
    /// transit for a moment before its server starts it.
    #[must_use]
    pub fn freshness_limit(&self) -> Duration {
        self.revocation.to_duration() * 9 / 10
    }
}
