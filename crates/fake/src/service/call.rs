//! Calls of a fake service.

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Request;
use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;

/// Header that identifies a call across retries.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Response to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Method of the call.
    pub method: CompactString,
    /// Path and query of the call.
    pub path: CompactString,
    /// Digest of the body.
    pub body: Digest,
    /// Number of the execution, from 0.
    pub number: u64,
}

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Response to the call.
    pub echo: Echo,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<CompactString>,
}

impl Execution {
    /// Records execution `number` of a request.
    #[must_use]
    pub fn new(request: &Request<Bytes>, number: u64) -> Self {
        let path = request.uri().path_and_query();
        let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
        let key = key.map(|key| String::from_utf8_lossy(key.as_bytes()).into());
        Self {
            echo: Echo {
                method: request.method().as_str().into(),
                path: path.map_or("/", |path| path.as_str()).into(),
                body: Digest::of(request.body()),
                number,
            },
            key,
        }
    }
}
