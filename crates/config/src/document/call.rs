//! Calls of a service.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::read::Read;
use crate::read::Reader;

/// Contract of one kind of call of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: CompactString,
    /// Path below the service, with a leading `/`; a last segment `*` matches any remainder.
    pub path: CompactString,
    /// Whether the call may be sent more than once. A non-idempotent call needs an `Idempotency-Key`.
    pub idempotent: bool,
}

impl Read for Call {
    fn read(reader: &mut Reader<'_>) -> Option<Self> {
        let method = reader.required("method");
        let path = reader.required("path");
        let idempotent = reader.required("idempotent");
        Some(Self {
            method: method?,
            path: path?,
            idempotent: idempotent?,
        })
    }
}
