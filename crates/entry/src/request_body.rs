//! Request bodies.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::settings::Limits;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Reads a request body within the limits on its size and time.
///
/// # Errors
///
/// [`Reason::BodyTooLarge`], [`Reason::RequestTimeout`], or [`Reason::BadRequest`] when it is truncated.
pub async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().lower();
    if announced > limits.body.0 {
        return Err(too_large(limits));
    }
    let collected = Limited::new(body, limits.body.to_usize()).collect();
    match agatemill_runtime::timeout(limits.body_time.to_duration(), collected).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits)),
        Some(Err(_)) => Err(Refusal::not_run(
            Reason::BadRequest,
            "the body of the request broke off",
        )),
        None => Err(Refusal::not_run(
            Reason::RequestTimeout,
            compact_str::format_compact!(
                "the body of the request did not arrive within {}",
                limits.body_time
            ),
        )),
    }
}

fn too_large(limits: &Limits) -> Refusal {
    Refusal::not_run(
        Reason::BodyTooLarge,
        compact_str::format_compact!("the body of the request is over {}", limits.body),
    )
}
