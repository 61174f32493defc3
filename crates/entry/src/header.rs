//! Names of the headers that agatemill defines or reads, and hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Whether the request ran: `complete`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("agatemill-outcome");

/// Id of the request, for logs and for support requests of callers.
pub const REQUEST: HeaderName = HeaderName::from_static("agatemill-request");

/// `true` on a stored response that is returned for a repeated call.
pub const REPLAYED: HeaderName = HeaderName::from_static("agatemill-replayed");

/// Organisation of the caller, forwarded to services.
pub const ORGANISATION: HeaderName = HeaderName::from_static("agatemill-organisation");

/// Identifies a non-idempotent call, so that a repeated call is recognised.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Id of the last event that a caller has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the headers of a message that may be forwarded. This leaves out hop-by-hop headers, headers that
/// `Connection` lists, and headers that the sender sets itself or that the entry has already processed.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let listed = connection_options(headers);
    let is_forwarded = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && !listed.contains(name)
            && *name != header::CONTENT_LENGTH
            && *name != header::HOST
            && *name != header::EXPECT
            && *name != header::AUTHORIZATION
            && !name.as_str().starts_with("agatemill-")
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let options = texts.flat_map(|text| text.split(','));
    options
        .filter_map(|option| option.trim().parse().ok())
        .collect()
}
