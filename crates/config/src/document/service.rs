//! Plain services.

use serde::Deserialize;
use serde::Serialize;

use crate::document::Call;
use crate::document::Server;
use crate::read::Read;
use crate::read::Reader;
use agatemill_core::id;

/// A plain application service of one half.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use in `/v1/services/{service}/…`.
    pub name: id::Service,
    /// Half that the service belongs to.
    pub half: id::Half,
    /// Backend servers, `[[service.server]]`, at least one.
    #[serde(rename = "server")]
    pub servers: Vec<Server>,
    /// Calls, `[[service.call]]`. The first match applies; a request that matches none is refused.
    #[serde(rename = "call")]
    pub calls: Vec<Call>,
}

impl Read for Service {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let name = reader.required("name");
        let half = reader.required("half");
        let servers = reader.required_tables("server");
        let calls = reader.required_tables("call");
        Some(Self {
            name: name?,
            half: half?,
            servers: servers?,
            calls: calls?,
        })
    }
}
