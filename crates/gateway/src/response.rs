//! HTTP responses to callers.

use std::io;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::response::Parts;

use agatemill_adapter::header;
use agatemill_core::Refusal;

/// Response body. An error aborts the connection, so that the caller can tell that the body is incomplete.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all known.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A response of this host with a status and a body.
///
/// # Panics
///
/// Never: a status and a body form a valid response.
#[must_use]
pub fn with_body(status: StatusCode, media_type: &'static str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// The head of the response to a caller for that of a backend server. The length is left to the HTTP library, since a
/// resumed stream may differ from what its first engine stated. The version is that of this host: in older ones, a body that
/// is cut off could look complete.
#[must_use]
pub fn caller_head(mut head: Parts) -> Parts {
    head.headers = header::end_to_end(&head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.version = Version::HTTP_11;
    head
}

/// The response to a request that this host refused or that failed.
#[must_use]
pub fn from_refusal(refusal: &Refusal) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = format!("{}: {}\n", refusal.reason, refusal.detail);
    let mut response = with_body(status, "text/plain", Bytes::from(body));
    let wait = refusal
        .retry_after
        .and_then(|wait| HeaderValue::from_str(&format!("{:.2}", wait.as_secs_f64())).ok());
    if let Some(wait) = wait {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
