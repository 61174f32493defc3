//! System-wide settings.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::quantity::Rate;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

/// System-wide settings, `[settings]`. Every key is optional.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Retention period of the records of non-idempotent calls.
    pub call_retention: Time,
    /// Maximum size of a response of a non-idempotent call that is stored for replay.
    pub call_answer_limit: Size,
    /// How long callers may cache a response of `/v1/entries`.
    pub address_lifetime: Time,
    /// Maximum age of the platform's last confirmation before an isolated host refuses new requests.
    pub freshness_limit: Time,
    /// Maximum total duration of a request, unless the organisation requests a shorter one.
    pub request_deadline: Time,
    /// Timeout of a step, after which its engine is considered lost.
    pub step_timeout: Time,
    /// Maximum rate of loads from the weight store.
    pub load_rate: Rate,
    /// One-way latency of a link that has no `[[link]]` entry.
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
