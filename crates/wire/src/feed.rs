//! Service through which an entry host relays the changes of the store to other entry hosts.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

/// Service through which an entry host relays the changes of the store to other entry hosts.
#[tarpc::service]
pub trait Feed {
    /// Returns the changes after the state `after` as soon as there are any, or an empty batch after `wait_ms`.
    ///
    /// The batch holds all items if the host does not know the changes since that state, also if it is of an earlier
    /// era.
    ///
    /// `None` when the host has itself lost contact with the store or knows an earlier era only, or its items are too
    /// large for a message: at once, or after `wait_ms` if `is_last_resort`, because the caller has no other source.
    ///
    /// `era` is the latest that the caller knows; a host that knows an earlier one reads the store again first.
    async fn changes(after: Cursor, era: u64, wait_ms: u32, is_last_resort: bool) -> Option<Batch>;

    /// The configuration of this host, if its version is later than `version`.
    async fn configuration(version: u64) -> Option<Change>;
}

/// A state of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Era of the store, which rises when it is restored from an older copy.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// Changes since a state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes in order; the receiver may know some of them already.
    pub changes: Vec<Change>,
    /// Whether the changes are all items of the store instead: it has no others.
    pub is_whole: bool,
    /// State up to which the changes are complete.
    pub cursor: Cursor,
    /// Age in milliseconds of the sender's view when it sent the batch.
    pub age_ms: u32,
    /// Milliseconds for which deleted keys are still retained, because the store has just recovered.
    pub lenient_ms: u32,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The written item; `None` when the key was deleted.
    pub item: Option<Item>,
}

/// Value of a key with its revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The value.
    pub value: ByteBuf,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key was created.
    pub created: u64,
    /// Lease that the key is attached to, 0 for none.
    pub lease: i64,
}
