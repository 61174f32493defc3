//! Organisations.

use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;
use agatemill_core::Digest;
use agatemill_core::Priority;
use agatemill_core::id;
use agatemill_core::quantity::Rate;

/// An organisation whose callers use the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: id::Organisation,
    /// Half that serves the organisation.
    pub half: id::Half,
    /// SHA-256 digests of the organisation's bearer tokens, at least one.
    pub tokens: Vec<Digest>,
    /// Models that the organisation may use.
    #[serde(default)]
    pub models: Vec<id::Model>,
    /// Services that the organisation may use.
    #[serde(default)]
    pub services: Vec<id::Service>,
    /// Rate limit on requests, across all entry hosts.
    pub rate: Rate,
    /// Limit on concurrent requests, across all entry hosts, at least 1.
    pub concurrency: u32,
    /// Weight in the fair queue, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority of the organisation's requests.
    #[serde(default)]
    pub priority: Priority,
}

fn default_weight() -> u32 {
    1
}

impl Read for Organisation {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let half = reader.required("half");
        let tokens = reader.required_list("tokens");
        let models = reader.list("models");
        let services = reader.list("services");
        let rate = reader.required("rate");
        let concurrency = reader.required("concurrency");
        let weight = reader.optional("weight", default_weight());
        let priority = reader.optional("priority", Priority::default());
        Some(Self {
            name: name?,
            half: half?,
            tokens: tokens?,
            models: models?,
            services: services?,
            rate: rate?,
            concurrency: concurrency?,
            weight: weight?,
            priority: priority?,
        })
    }
}
