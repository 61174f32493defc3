//! Calls of the gateway, applied to the store.

use core::time::Duration;

use crate::platform::state::State;
use crate::platform::store::Keys;
use crate::platform::store::Record;
use crate::platform::store::Store;
use crate::platform::store::Write;
use agatemill_platform::gateway;
use agatemill_platform::gateway::decode;
use agatemill_platform::gateway::encode;

/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// gRPC status codes of the refusals below.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const RESOURCE_EXHAUSTED: u32 = 8;
const UNAVAILABLE: u32 = 14;

/// Result of a call: an answer or the body of an error.
pub type Answer<T> = Result<T, gateway::Failure>;

/// Error for a request that makes no sense.
#[must_use]
pub fn invalid(text: impl Into<String>) -> gateway::Failure {
    failure(INVALID_ARGUMENT, text)
}

/// Error for a request that the service refuses because it is busy.
#[must_use]
pub fn exhausted() -> gateway::Failure {
    failure(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
}

/// Error for a write that the service did not see applied in time, although it may have been.
#[must_use]
pub fn timed_out() -> gateway::Failure {
    failure(UNAVAILABLE, "etcdserver: request timed out")
}

/// The HTTP status that the gateway gives with an error.
#[must_use]
pub fn status(failure: &gateway::Failure) -> u16 {
    match failure.code {
        INVALID_ARGUMENT => 400,
        NOT_FOUND => 404,
        RESOURCE_EXHAUSTED => 429,
        _ => 503,
    }
}

/// The keys that a range names.
///
/// # Errors
///
/// An error body when a key is not base64.
pub fn keys(first: &str, end: &str) -> Answer<Keys> {
    Ok(Keys {
        first: bytes(first)?,
        end: bytes(end)?,
    })
}

/// Answers a range.
///
/// # Errors
///
/// An error body when a key is not base64.
pub fn range(store: &Store, request: &gateway::Range) -> Answer<gateway::RangeAnswer> {
    let keys = keys(&request.key, &request.range_end)?;
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

/// Answers a put.
pub fn put(state: &mut State, request: &gateway::Put) -> Answer<gateway::TransactionAnswer> {
    let write = write(&state.store, request)?;
    state.store.put(vec![write]);
    state.notify();
    Ok(gateway::TransactionAnswer {
        header: header(&state.store),
        ..Default::default()
    })
}

/// Answers a transaction.
pub fn transaction(
    state: &mut State,
    request: &gateway::Transaction,
) -> Answer<gateway::TransactionAnswer> {
    let mut succeeded = true;
    for compare in &request.compare {
        succeeded &= holds(&state.store, compare)?;
    }
    let operations = if succeeded {
        &request.success
    } else {
        &request.failure
    };
    let puts = operations.iter().filter_map(|op| op.request_put.as_ref());
    let writes: Answer<Vec<_>> = puts.map(|put| write(&state.store, put)).collect();
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
) -> Answer<gateway::LeaseAnswer> {
    let ttl: u64 = number(&request.ttl)?;
    let id = state.store.leases.grant(Duration::from_secs(ttl), now);
    Ok(gateway::LeaseAnswer {
        id: id.to_string(),
        ttl: request.ttl.clone(),
    })
}

/// Renews a lease. The gateway answers with one line, and without a time when the lease has ended.
pub fn keepalive(
    state: &mut State,
    request: &gateway::LeaseRequest,
    now: Duration,
) -> Answer<gateway::Line<gateway::LeaseAnswer>> {
    let id = number(&request.id)?;
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
pub fn revoke(state: &mut State, request: &gateway::LeaseRequest) -> Answer<gateway::LeaseAnswer> {
    if !state.store.revoke(number(&request.id)?) {
        return Err(lease_not_found());
    }
    state.notify();
    Ok(gateway::LeaseAnswer::default())
}

/// A number in the gateway's text form; an absent one is 0.
///
/// # Errors
///
/// An error body when the text is not a number.
pub fn number<T: core::str::FromStr + Default>(text: &str) -> Answer<T> {
    if text.is_empty() {
        return Ok(T::default());
    }
    text.parse()
        .map_err(|_| invalid(format!("{text:?} is not a number")))
}

/// A key with its value in the gateway's form.
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

/// Header of an answer.
#[must_use]
pub fn header(store: &Store) -> gateway::Header {
    gateway::Header {
        revision: store.revision.to_string(),
    }
}

fn holds(store: &Store, compare: &gateway::Compare) -> Answer<bool> {
    if compare.target != "MOD" || compare.result != "EQUAL" {
        return Err(invalid("only MOD comparisons with EQUAL are known"));
    }
    let expected: u64 = number(&compare.mod_revision)?;
    Ok(store.modified(&bytes(&compare.key)?) == expected)
}

fn write(store: &Store, put: &gateway::Put) -> Answer<Write> {
    let value = bytes(&put.value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(invalid("etcdserver: request is too large"));
    }
    let lease = number(&put.lease)?;
    if lease != 0 && !store.leases.contains(lease) {
        return Err(lease_not_found());
    }
    Ok(Write {
        key: bytes(&put.key)?,
        value,
        lease,
    })
}

fn bytes(text: &str) -> Answer<Vec<u8>> {
    decode(text).ok_or_else(|| invalid(format!("{text:?} is not base64")))
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
