//! Executes the calls of the gateway on the store.

use core::time::Duration;

use crate::platform::state::State;
use crate::platform::store::Keys;
use crate::platform::store::Record;
use crate::platform::store::Store;
use crate::platform::store::Write;
use agatemill_platform::gateway;
use agatemill_platform::gateway::decode;
use agatemill_platform::gateway::encode;

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// gRPC status codes of the errors below.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const RESOURCE_EXHAUSTED: u32 = 8;
const UNAVAILABLE: u32 = 14;

/// Result of a call: a response or the body of an error.
pub type Reply<T> = Result<T, gateway::Failure>;

/// Error for an invalid request.
#[must_use]
pub fn invalid_argument(text: impl Into<String>) -> gateway::Failure {
    failure(INVALID_ARGUMENT, text)
}

/// Error for a request that the service rejects because it is overloaded.
#[must_use]
pub fn resource_exhausted() -> gateway::Failure {
    failure(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
}

/// Error for a write that timed out in the service; the write may have taken effect.
#[must_use]
pub fn timed_out() -> gateway::Failure {
    failure(UNAVAILABLE, "etcdserver: request timed out")
}

/// HTTP status of an error response.
#[must_use]
pub fn http_status(failure: &gateway::Failure) -> u16 {
    match failure.code {
        INVALID_ARGUMENT => 400,
        NOT_FOUND => 404,
        RESOURCE_EXHAUSTED => 429,
        _ => 503,
    }
}

/// Decodes the bounds of a range.
///
/// # Errors
///
/// An error body if a key is not base64.
pub fn decode_keys(first: &str, end: &str) -> Reply<Keys> {
    Ok(Keys {
        first: decode_bytes(first)?,
        end: decode_bytes(end)?,
    })
}

/// Executes a range read.
///
/// # Errors
///
/// An error body if a key is not base64.
pub fn range(store: &Store, request: &gateway::Range) -> Reply<gateway::RangeAnswer> {
    let keys = decode_keys(&request.key, &request.range_end)?;
    let found = store.range(&keys);
    Ok(gateway::RangeAnswer {
        header: header(store),
        kvs: found
            .map(|(key, record)| {
                let mut found = key_value(key, record);
                if request.keys_only {
                    found.value.clear();
                }
                found
            })
            .collect(),
    })
}

/// Executes a put.
pub fn put(state: &mut State, request: &gateway::Put) -> Reply<gateway::TransactionAnswer> {
    let write = decode_write(&state.store, request)?;
    state.store.put(vec![write]);
    state.notify();
    Ok(gateway::TransactionAnswer {
        header: header(&state.store),
        ..Default::default()
    })
}

/// Executes a transaction.
pub fn transaction(
    state: &mut State,
    request: &gateway::Transaction,
) -> Reply<gateway::TransactionAnswer> {
    let mut succeeded = true;
    for compare in &request.compare {
        succeeded &= is_satisfied(&state.store, compare)?;
    }
    let operations = if succeeded {
        &request.success
    } else {
        &request.failure
    };
    let puts = operations.iter().filter_map(|op| op.request_put.as_ref());
    let writes: Reply<Vec<_>> = puts.map(|put| decode_write(&state.store, put)).collect();
    state.store.put(writes?);
    let mut responses = Vec::new();
    for operation in operations {
        let found = operation.request_range.as_ref();
        let response_range = found.map(|found| range(&state.store, found)).transpose()?;
        responses.push(gateway::OperationAnswer { response_range });
    }
    state.notify();
    Ok(gateway::TransactionAnswer {
        header: header(&state.store),
        succeeded,
        responses,
    })
}

/// Grants a lease.
pub fn grant(
    state: &mut State,
    request: &gateway::LeaseRequest,
    now: Duration,
) -> Reply<gateway::LeaseAnswer> {
    let ttl: u64 = parse_number(&request.ttl)?;
    let id = state.store.leases.grant(Duration::from_secs(ttl), now);
    Ok(gateway::LeaseAnswer {
        id: id.to_string(),
        ttl: request.ttl.clone(),
    })
}

/// Renews a lease. The gateway responds with one line, which has no TTL if the lease has ended.
pub fn keepalive(
    state: &mut State,
    request: &gateway::LeaseRequest,
    now: Duration,
) -> Reply<gateway::Line<gateway::LeaseAnswer>> {
    let id = parse_number(&request.id)?;
    let renewed = state.store.leases.renew(id, now);
    let ttl = renewed.map(|lease| lease.ttl.as_secs().to_string());
    Ok(gateway::Line {
        result: gateway::LeaseAnswer {
            id: request.id.clone(),
            ttl: ttl.unwrap_or_default(),
        },
    })
}

/// Ends a lease.
pub fn revoke(state: &mut State, request: &gateway::LeaseRequest) -> Reply<gateway::LeaseAnswer> {
    if !state.store.revoke(parse_number(&request.id)?) {
        return Err(lease_not_found());
    }
    state.notify();
    Ok(gateway::LeaseAnswer::default())
}

/// Parses a number in the text form of the gateway; an empty text is 0.
///
/// # Errors
///
/// An error body if the text is not a number.
pub fn parse_number<T: core::str::FromStr + Default>(text: &str) -> Reply<T> {
    if text.is_empty() {
        return Ok(T::default());
    }
    text.parse()
        .map_err(|_| invalid_argument(format!("{text:?} is not a number")))
}

/// Converts a key and its record to the representation of the gateway.
#[must_use]
pub fn key_value(key: &[u8], record: &Record) -> gateway::KeyValue {
    let lease = match record.lease {
        0 => String::new(),
        lease => lease.to_string(),
    };
    gateway::KeyValue {
        key: encode(key),
        value: encode(&record.value),
        create_revision: record.created.to_string(),
        mod_revision: record.modified.to_string(),
        lease,
    }
}

/// Header of a response.
#[must_use]
pub fn header(store: &Store) -> gateway::Header {
    gateway::Header {
        revision: store.revision.to_string(),
    }
}

/// Whether the condition of a transaction is satisfied.
fn is_satisfied(store: &Store, compare: &gateway::Compare) -> Reply<bool> {
    if compare.target != "MOD" || compare.result != "EQUAL" {
        return Err(invalid_argument(
            "only MOD comparisons with EQUAL are known",
        ));
    }
    let expected: u64 = parse_number(&compare.mod_revision)?;
    Ok(store.modified(&decode_bytes(&compare.key)?) == expected)
}

fn decode_write(store: &Store, put: &gateway::Put) -> Reply<Write> {
    let value = decode_bytes(&put.value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(invalid_argument("etcdserver: request is too large"));
    }
    let lease = parse_number(&put.lease)?;
    if lease != 0 && !store.leases.contains(lease) {
        return Err(lease_not_found());
    }
    Ok(Write {
        key: decode_bytes(&put.key)?,
        value,
        lease,
    })
}

fn decode_bytes(text: &str) -> Reply<Vec<u8>> {
    decode(text).ok_or_else(|| invalid_argument(format!("{text:?} is not base64")))
}

fn lease_not_found() -> gateway::Failure {
    failure(NOT_FOUND, "etcdserver: requested lease not found")
}

fn failure(code: u32, message: impl Into<String>) -> gateway::Failure {
    gateway::Failure {
        code,
        message: message.into(),
    }
}
