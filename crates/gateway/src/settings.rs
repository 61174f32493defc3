//! Settings of the process.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::path::Path;

use serde::Deserialize;

use crate::Error;
use agatemill_core::id;
use agatemill_core::quantity::Time;
use agatemill_fleet::budget::Allowance;

/// Settings of the process, read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: id::Host,
    /// Availability zone of this host.
    pub zone: id::Zone,
    /// Where callers connect; also the address that the directory tells them.
    pub callers: SocketAddrV4,
    /// Where the platform checks readiness.
    pub ready: SocketAddrV4,
    /// Where callers ask which hosts to use.
    pub directory: SocketAddrV4,
    /// Where metrics are served.
    pub metrics: SocketAddrV4,
    /// Where other hosts send datagrams, and connect to follow the store.
    pub exchange: SocketAddrV4,
    /// The platform's key-value store.
    pub store: SocketAddrV4,
    /// Longest time for which callers may keep the directory's answer.
    #[serde(default = "directory_lifetime")]
    pub directory_lifetime: Time,
    /// Limits that the operator of the platform sets.
    pub bounds: Bounds,
}

/// Limits that the operator of the platform sets.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Repeats for each request that a service may get.
    pub retry_ratio: f64,
    /// Repeats that a service may get in each window besides.
    pub retry_base: f64,
    /// The window of these repeats.
    pub retry_window: Time,
    /// How long a key may still be used after it was taken away.
    pub revocation: Time,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Time,
}

/// Default of [`Settings::directory_lifetime`]: short, since a host that dies is told to callers until it
/// has passed.
fn directory_lifetime() -> Time {
    Time::from_millis(2_000)
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

    fn check(&self) -> Result<(), Error> {
        let bounds = &self.bounds;
        let ratio = bounds.retry_ratio.is_finite() && bounds.retry_ratio >= 0.0;
        let base = bounds.retry_base.is_finite() && bounds.retry_base >= 0.0;
        let positive = "a time above 0 is expected";
        let checks = [
            (ratio, "bounds.retry_ratio", "a number from 0 is expected"),
            (base, "bounds.retry_base", "a number from 0 is expected"),
            (
                !bounds.retry_window.to_duration().is_zero(),
                "bounds.retry_window",
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
    /// The allowance of repeats for each service.
    #[must_use]
    pub fn allowance(&self) -> Allowance {
        Allowance {
            ratio: self.retry_ratio,
            base: self.retry_base,
            window: self.retry_window.to_duration(),
        }
    }

    /// How old the view may be for requests with keys: less than the time for which a key may still be
    /// used, because a request is under way for a moment before its server begins.
    #[must_use]
    pub fn freshness_limit(&self) -> Duration {
        self.revocation.to_duration() * 9 / 10
    }
}
