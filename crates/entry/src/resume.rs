//! Resumption of a stream at another entry host.

use hyper::HeaderMap;

use crate::chat::Chat;
use crate::header;
use crate::sse::EventId;
use agatemill_core::Digest;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Returns the last event that the caller of a resumed stream has received; `None` if the request starts a new
/// stream.
///
/// # Errors
///
/// [`Reason::BadRequest`] when the header is malformed, its index is too high or the request does not ask for a
/// stream, [`Reason::ResumeMismatch`] when the stream belongs to a request with another body, and
/// [`Reason::ResumeNotDeterministic`] when its tokens cannot be reproduced.
pub fn check(headers: &HeaderMap, chat: &Chat, body: &Digest) -> Result<Option<EventId>, Refusal> {
    let Some(value) = headers.get(header::LAST_EVENT_ID) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let event: EventId = text.parse().map_err(|error: crate::sse::Error| {
        let detail = compact_str::format_compact!("Last-Event-ID: {error}");
        Refusal::not_run(Reason::BadRequest, detail)
    })?;
    if !chat.stream {
        let detail = "Last-Event-ID: only a request with stream: true can be resumed";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    if event.body != body.prefix() {
        let detail = "Last-Event-ID: the stream belongs to a request with another body";
        return Err(Refusal::not_run(Reason::ResumeMismatch, detail));
    }
    if !chat.is_deterministic() {
        let detail = "Last-Event-ID: a stream can be resumed only with temperature 0 or a seed";
        return Err(Refusal::not_run(Reason::ResumeNotDeterministic, detail));
    }
    if event.index >= chat.max_tokens {
        let detail = "Last-Event-ID: the index is over the number of tokens that are asked for";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(Some(event))
}
