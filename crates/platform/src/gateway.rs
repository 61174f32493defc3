//! JSON messages of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Encodes a key or value.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a key or value; `None` when it is not base64.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64_STANDARD.decode(text).ok()
}

/// Returns the end of the range of all keys that start with `prefix`, as etcd defines it.
#[must_use]
pub fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Request of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub key: String,
    /// Key after the last; absent for a single key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// Whether the response omits the values.
    #[serde(default, skip_serializing_if = "core::ops::Not::not")]
    pub keys_only: bool,
}

/// Header of every response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Header {
    /// Revision of the store.
    #[serde(default)]
    pub revision: String,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value; absent when it is empty.
    #[serde(default)]
    pub value: String,
    /// Revision of the key's creation.
    #[serde(default)]
    pub create_revision: String,
    /// Revision of the key's last change.
    #[serde(default)]
    pub mod_revision: String,
    /// Lease of the key; absent when it has none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// Response of `/v3/kv/range`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// The keys found; absent when there are none.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// A put, on its own or in a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Lease to attach the key to.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub lease: String,
}

/// A comparison in a transaction: the key's `MOD` revision equals a number; 0 means absent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Compare {
    /// Always `EQUAL`.
    pub result: String,
    /// Always `MOD`.
    pub target: String,
    /// The key.
    pub key: String,
    /// The revision.
    pub mod_revision: String,
}

/// One operation in a transaction.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Operation {
    /// A put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<Put>,
    /// A range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<Range>,
}

/// Request of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations to run when all comparisons hold.
    pub success: Vec<Operation>,
    /// Operations to run otherwise.
    pub failure: Vec<Operation>,
}

/// Response of one operation.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct OperationAnswer {
    /// Response of a range.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeAnswer>,
}

/// Response of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// Whether the comparisons held; absent when they did not.
    #[serde(default)]
    pub succeeded: bool,
    /// Responses of the operations.
    #[serde(default)]
    pub responses: Vec<OperationAnswer>,
}

/// Request of `/v3/lease/grant`, `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease id; 0 in a grant lets the service choose.
    #[serde(rename = "ID")]
    pub id: String,
    /// Seconds until the lease expires; only in a grant.
    #[serde(default, rename = "TTL", skip_serializing_if = "String::is_empty")]
    pub ttl: String,
}

/// Response of `/v3/lease/grant`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The lease id.
    #[serde(default, rename = "ID")]
    pub id: String,
    /// Seconds until the lease expires; absent or 0 when it has expired.
    #[serde(default, rename = "TTL")]
    pub ttl: String,
}

/// One line of the response of `/v3/lease/keepalive` or `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Line<T> {
    /// The content.
    pub result: T,
}

/// Request of `/v3/watch`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchCreate {
    /// First key.
    pub key: String,
    /// Key after the last; absent for a single key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// First revision to report; absent for future changes only.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub start_revision: String,
}

/// Content of one response line of a watch.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Header.
    #[serde(default)]
    pub header: Header,
    /// Whether this is the first line, which confirms the watch.
    #[serde(default, skip_serializing_if = "core::ops::Not::not")]
    pub created: bool,
    /// Whether this is the last line, because the service has cancelled the watch.
    #[serde(default, skip_serializing_if = "core::ops::Not::not")]
    pub canceled: bool,
    /// Highest compacted revision, when the service cancelled the watch because of compaction.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub compact_revision: String,
    /// Changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// One change of a key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchEvent {
    /// `DELETE`, or absent for a put.
    #[serde(default, rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key with its new value.
    pub kv: KeyValue,
}

/// JSON body of an error.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Failure {
    /// gRPC status code: 5 is "not found", 14 is "unavailable".
    #[serde(default)]
    pub code: u32,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
}
