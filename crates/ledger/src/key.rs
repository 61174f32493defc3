//! Platform keys of records, and expiry of idempotency keys.

use core::time::Duration;

use crate::Call;
use agatemill_core::Digest;
use agatemill_core::id;

/// Length of a UUID in text form.
const UUID_LEN: usize = 36;

/// The platform key of a call's record. It contains a digest of the idempotency key, because the key may contain
/// any characters.
#[must_use]
pub fn record(environment: &id::Environment, call: &Call) -> String {
    let Call {
        half, organisation, ..
    } = call;
    let key = Digest::of(call.key.as_bytes());
    format!("/agatemill/{environment}/calls/{half}/{organisation}/{key}")
}

/// Whether an idempotency key is a version 7 UUID that was created more than `retention` before the wall-clock time
/// `wall`, which is counted from the Unix epoch, as is the UUID's timestamp.
#[must_use]
pub fn is_expired(key: &str, retention: Duration, wall: Duration) -> bool {
    created(key).is_some_and(|created| created + retention < wall)
}

/// Timestamp of a version 7 UUID, whose first 48 bits are milliseconds since the Unix epoch.
fn created(key: &str) -> Option<Duration> {
    let dashes = |&(index, byte): &(usize, u8)| (byte == b'-') == [8, 13, 18, 23].contains(&index);
    if key.len() != UUID_LEN || !key.bytes().enumerate().all(|pair| dashes(&pair)) {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let number = u128::from_str_radix(&digits, 16).ok()?;
    let version = number >> 76 & 0xf;
    let millis = u64::try_from(number >> 80).ok()?;
    (version == 7).then(|| Duration::from_millis(millis))
}
