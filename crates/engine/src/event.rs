//! Changes of an engine's prefix cache.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;

/// A change of the prefix cache; `GET /v1/events?after=N` answers a JSON list of them.
///
/// Engines publish events late and with gaps: a jump in `number` means lost events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event, rising by 1 for each event of the engine.
    pub number: u64,
    /// Digest of the prompt prefix.
    pub prefix: Digest,
    /// Whether the prefix was stored (`true`) or evicted (`false`).
    pub stored: bool,
}
