//! Calls to record.

use core::time::Duration;

use compact_str::CompactString;

use agatemill_core::Digest;
use agatemill_core::id;
use agatemill_core::quantity::Size;

/// A non-idempotent call of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The half that the caller belongs to.
    pub half: id::Half,
    /// The caller's organisation.
    pub organisation: id::Organisation,
    /// The idempotency key, as the caller sent it.
    pub key: CompactString,
    /// Digest of the request.
    pub body: Digest,
    /// Process time after which the call must not be sent.
    pub deadline: Duration,
    /// How long the record is retained.
    pub retention: Duration,
    /// Maximum size of an answer body that is stored for replay.
    pub answer_limit: Size,
}
