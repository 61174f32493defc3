//! Export, import and cancellation of sessions.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::id;
use agatemill_core::number::Attempt;
use agatemill_core::number::Position;

/// Name of a session; JSON body of `POST /v1/cancel` and `POST /v1/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Name {
    /// The session.
    pub session: id::Session,
}

/// The KV cache of a session; MessagePack response of `POST /v1/export` and body of `POST /v1/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cache {
    /// Session to create on import, or the session that was exported.
    pub session: id::Session,
    /// Attempt that the session belongs to.
    pub attempt: Attempt,
    /// Number of positions in the cache.
    pub position: Position,
    /// Cache contents, opaque to this crate.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}
