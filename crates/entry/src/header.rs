//! Names of the headers that agatemill defines or reads, and hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;

/// Whether the request ran: `complete`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("agatemill-outcome");

/// Id of the request, for logs and for questions of callers.
pub const REQUEST: HeaderName = HeaderName::from_static("agatemill-request");

/// `true` on the stored answer of a repeated call.
pub const REPLAYED: HeaderName = HeaderName::from_static("agatemill-replayed");

/// Organisation of the caller, passed to services.
pub const ORGANISATION: HeaderName = HeaderName::from_static("agatemill-organisation");

/// Names a non-idempotent call, so that a repeat is recognised.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Id of the last event that a caller has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that hold for one connection only (RFC 9110, section 7.6.1).
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

/// The headers of a message that may be forwarded: without hop-by-hop headers, those that `Connection`
/// names, and those that the sender sets anew or that
/// have been dealt with.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = connection_options(headers);
    let keep = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name)
            && !named.contains(name)
            && *name != header::CONTENT_LENGTH
            && *name != header::HOST
            && *name != header::EXPECT
            && *name != header::AUTHORIZATION
            && !name.as_str().starts_with("agatemill-")
    };
    headers
        .iter()
        .filter(|(name, _)| keep(name))
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
