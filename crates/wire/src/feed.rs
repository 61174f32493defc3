//! Service of an entry host for other entry hosts that follow the store through it.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// Service of an entry host for other entry hosts that follow the store through it.
#[tarpc::service]
pub trait Feed {
    /// Changes after the revision `after`, as soon as there are any, or none after `wait_ms`.
    ///
    /// `None` when the host cannot go on from there, or has lost the store itself.
    async fn changes(after: u64, wait_ms: u32) -> Option<Batch>;
}

/// What has changed since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes in order; some may be known to the receiver.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are whole.
    pub revision: u64,
    /// Age in milliseconds of the sender's view when it sent this.
    pub age_ms: u32,
    /// Milliseconds for which deleted keys are still kept, because the store has just come back.
    pub lenient_ms: u32,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The item as it was written; `None` when the key was deleted.
    pub item: Option<Item>,
}

/// What a key holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The value.
    pub value: ByteBuf,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key was created.
    pub created: u64,
}
