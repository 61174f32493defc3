//! Values for the whole system.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::quantity::Rate;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

/// Values for the whole system, `[settings]`. Every key may be left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How long records of non-idempotent calls are kept.
    pub call_retention: Time,
    /// Largest answer of a non-idempotent call that is kept for repeats.
    pub call_answer_limit: Size,
    /// How long callers may keep an answer of `/v1/entries`.
    pub address_lifetime: Time,
    /// How old the platform's last confirmation may be before an isolated host refuses new work.
    pub freshness_limit: Time,
    /// How long a request may take in all, unless the organisation asks for less.
    pub request_deadline: Time,
    /// How long a step may take before its engine counts as lost.
    pub step_timeout: Time,
    /// Loads that the weight store takes.
    pub load_rate: Rate,
    /// Latency one way over a link that has no `[[link]]` entry.
    pub link_latency: Time,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            call_retention: Time::from_millis(7 * 24 * 3_600_000),
            call_answer_limit: Size(64 * 1024),
            address_lifetime: Time::from_millis(10_000),
            freshness_limit: Time::from_millis(10_000),
            request_deadline: Time::from_millis(120_000),
            step_timeout: Time::from_millis(2_000),
            load_rate: Rate::new(1.0).expect("1 is a valid rate"),
            link_latency: Time::from_millis(1),
        }
    }
}
