//! Prefix cache events of an engine.

use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;

/// A change of the prefix cache. `GET /v1/events?after=N` returns a JSON list of these.
///
/// Engines publish events with a delay and with gaps; a gap in `number` means that events were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number, which increases by 1 with each event of the engine.
    pub number: u64,
    /// Digest of the prompt prefix.
    pub prefix: Digest,
    /// Whether the prefix was stored (`true`) or evicted (`false`).
    pub stored: bool,
}
