//! Refusals as problem documents.

use core::time::Duration;

use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use serde::Serialize;

use crate::body::Body;
use crate::header;
use agatemill_core::Outcome;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Media type of problem documents.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal or failure as a problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Type of the problem: the reason as a URN.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// The reason in words.
    pub title: CompactString,
    /// HTTP status.
    pub status: u16,
    /// Human-readable explanation in one sentence.
    pub detail: CompactString,
    /// Stable, machine-readable reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        let reason = refusal.reason;
        Self {
            kind: compact_str::format_compact!("urn:agatemill:reason:{reason}"),
            title: reason.as_str().replace('_', " ").into(),
            status: reason.status(),
            detail: refusal.detail.clone(),
            reason,
            outcome: refusal.outcome,
        }
    }
}

impl Problem {
    /// Encodes the document as JSON.
    ///
    /// # Panics
    ///
    /// Never: all fields are strings and numbers.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a problem document is plain JSON")
    }
}

/// Builds the response for a refusal.
#[must_use]
pub fn response(refusal: &Refusal) -> Response<Body> {
    let problem = Problem::from(refusal);
    let mut response = Response::new(Body::full(problem.to_json()));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(MEDIA_TYPE));
    headers.insert(
        header::OUTCOME,
        HeaderValue::from_static(refusal.outcome.as_str()),
    );
    if refusal.reason == Reason::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_seconds(wait)));
    }
    response
}

/// Whole seconds, rounded up and at least 1, because `Retry-After: 0` would invite an immediate retry.
fn retry_after_seconds(wait: Duration) -> u64 {
    let rounded = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    rounded.max(1)
}
