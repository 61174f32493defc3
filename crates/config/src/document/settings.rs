//! Values for the whole system.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
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

impl Read for Settings {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let default = Self::default();
        let call_retention = reader.optional("call_retention", default.call_retention);
        let call_answer_limit = reader.optional("call_answer_limit", default.call_answer_limit);
        let address_lifetime = reader.optional("address_lifetime", default.address_lifetime);
        let freshness_limit = reader.optional("freshness_limit", default.freshness_limit);
        let request_deadline = reader.optional("request_deadline", default.request_deadline);
        let step_timeout = reader.optional("step_timeout", default.step_timeout);
        let load_rate = reader.optional("load_rate", default.load_rate);
        let link_latency = reader.optional("link_latency", default.link_latency);
        Some(Self {
            call_retention: call_retention?,
            call_answer_limit: call_answer_limit?,
            address_lifetime: address_lifetime?,
            freshness_limit: freshness_limit?,
            request_deadline: request_deadline?,
            step_timeout: step_timeout?,
            load_rate: load_rate?,
            link_latency: link_latency?,
        })
    }
}
