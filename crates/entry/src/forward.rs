//! Forwarding of idempotent service calls.

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use smol::channel::Sender;

use crate::body::Body;
use crate::body::Chunk;
use crate::exchange::Exchange;
use crate::header;
use crate::service;
use crate::service::Call;
use crate::services::Attempt;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_http::Client;
use agatemill_http::Error;

/// Number of response chunks that are buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Range of the backoff before a retry in milliseconds; chosen at random, so that the retries of many calls
/// do not coincide.
const BACKOFF_MS: core::ops::Range<u64> = 5..50;

/// Largest response body that is buffered before it is forwarded. If the connection breaks within such a
/// response, the call can be retried at another server.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Response of a server.
#[derive(Debug)]
enum Reply {
    /// Complete response.
    Buffered(Response<Bytes>),
    /// Head of a response that is long or of unknown length; its body is not read yet.
    Streamed(Response<agatemill_http::Body>),
}

/// Failure of an attempt, after which another server is tried.
#[derive(Debug)]
struct Failure {
    /// Label for the counter of retries.
    reason: &'static str,
    /// Refusal for the caller if there is no other attempt.
    refusal: Refusal,
}

impl Reply {
    fn status(&self) -> StatusCode {
        match self {
            Self::Buffered(response) => response.status(),
            Self::Streamed(response) => response.status(),
        }
    }

    fn headers(&self) -> &HeaderMap {
        match self {
            Self::Buffered(response) => response.headers(),
            Self::Streamed(response) => response.headers(),
        }
    }
}

/// Sends a call to one server after another until one responds, within the retry budget and the deadline.
/// There is no retry after a part of a response has been forwarded.
///
/// # Errors
///
/// [`Reason::NoServer`], [`Reason::DeadlineExceeded`], or [`Reason::BackendFailed`].
pub async fn run(exchange: &mut Option<Exchange>, call: Call) -> Result<Response<Body>, Refusal> {
    let Some(mut current) = exchange.take() else {
        return Err(call.no_server_refusal());
    };
    current.phase = Phase::Admitted;
    let result = send_with_retries(&mut current, &call).await;
    match result {
        Ok((attempt, Reply::Buffered(response))) => {
            attempt.record_success();
            *exchange = Some(current);
            let (head, body) = response.into_parts();
            Ok(build_response(&head, Body::full(body)))
        }
        Ok((attempt, Reply::Streamed(response))) => {
            Ok(stream_response(current, call, attempt, response))
        }
        Err(refusal) => {
            *exchange = Some(current);
            Err(refusal)
        }
    }
}

async fn send_with_retries(
    exchange: &mut Exchange,
    call: &Call,
) -> Result<(Attempt, Reply), Refusal> {
    let state = Arc::clone(&exchange.state);
    let pool = state
        .services
        .pool(&call.service)
        .ok_or_else(|| call.no_server_refusal())?;
    let mut tried: Vec<id::Server> = Vec::new();
    let mut last = call.no_server_refusal();
    let mut reason = None;
    while let Some(attempt) = pool.choose(&tried) {
        let left = remaining_time(call, exchange.phase)?;
        if !tried.is_empty() && !pool.take_retry() {
            let detail = "the retry budget of the service is used up";
            last = Refusal {
                reason: Reason::RetriesExhausted,
                detail: detail.into(),
                ..last
            };
            return Err(last);
        }
        if let Some(reason) = reason {
            state.metrics.count_retry(reason);
        }
        tried.push(attempt.choice.server.clone());
        // Half of the remaining time, so that a server that hangs leaves time for another attempt.
        let limit = left / 2;
        let request = call.request(&attempt.choice)?;
        let before = exchange.phase;
        exchange.phase = Phase::Sent;
        let result = fetch(&state.services.pooled, request, limit).await;
        match classify(result, before) {
            Ok(reply) => return Ok((attempt, reply)),
            Err(failure) => {
                log::warn!(
                    request:% = exchange.id, server:% = attempt.choice.server,
                    reason = failure.reason;
                    "service: call failed"
                );
                attempt.record_failure();
                reason = Some(failure.reason);
                // As long as no server can have run the call, the outcome remains "not run".
                if failure.refusal.outcome == Outcome::NotRun {
                    exchange.phase = before;
                }
                last = failure.refusal;
            }
        }
        agatemill_runtime::sleep(Duration::from_millis(fastrand::u64(BACKOFF_MS))).await;
    }
    Err(last)
}

/// Sends a request and reads the response; of a response that is not short, only the head.
async fn fetch(
    client: &Client,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Reply, Error> {
    let exchange = async {
        let response = client.send(request, limit).await?;
        let length = response.body().size_hint().exact();
        if length.is_none_or(|length| length > MAX_BUFFERED_BYTES as u64) {
            return Ok(Reply::Streamed(response));
        }
        let (head, body) = response.into_parts();
        let body = agatemill_http::client::read(body, MAX_BUFFERED_BYTES).await?;
        Ok(Reply::Buffered(Response::from_parts(head, body)))
    };
    agatemill_runtime::timeout(limit, exchange)
        .await
        .unwrap_or(Err(Error::TimedOut))
}

/// Time until the deadline of a call; a refusal if it has passed.
fn remaining_time(call: &Call, phase: Phase) -> Result<Duration, Refusal> {
    let left = call.deadline.saturating_sub(agatemill_runtime::now());
    if left.is_zero() {
        let detail = "the deadline passed before the service answered";
        let reason = Reason::DeadlineExceeded;
        return Err(Refusal::new(reason, phase, Cause::DeadlinePassed, detail));
    }
    Ok(left)
}

/// Classifies the result of an attempt. `before` is the phase before the attempt: [`Phase::Sent`] if an
/// earlier attempt may have run the call.
fn classify(result: Result<Reply, Error>, before: Phase) -> Result<Reply, Failure> {
    let failure = |reason, phase, cause, error: &Error| Failure {
        reason,
        refusal: Refusal::new(
            Reason::BackendFailed,
            phase,
            cause,
            compact_str::format_compact!("the service did not answer: {error}"),
        ),
    };
    match result {
        Ok(reply) if service::is_rejected(reply.headers()) => Err(Failure {
            reason: "service_rejected",
            refusal: rejection(reply.status(), before),
        }),
        Ok(reply) => Ok(reply),
        Err(error @ Error::Connect(_)) => {
            let cause = Cause::ConnectFailed;
            Err(failure("service_connect", before, cause, &error))
        }
        Err(error @ Error::TimedOut) => {
            let cause = Cause::DeadlinePassed;
            Err(failure("service_timeout", Phase::Sent, cause, &error))
        }
        Err(error) => {
            let cause = Cause::ConnectionLost;
            Err(failure("service_lost", Phase::Sent, cause, &error))
        }
    }
}

/// Refusal for a call that a backend server reports as not run. `before` is the phase before the attempt: the
/// report does not cover earlier attempts.
#[must_use]
pub fn rejection(status: StatusCode, before: Phase) -> Refusal {
    let detail =
        compact_str::format_compact!("the service answered {status} and did not run the call");
    let cause = if before < Phase::Sent {
        Cause::Rejected
    } else {
        Cause::ConnectionLost
    };
    Refusal::new(Reason::BackendFailed, Phase::Sent, cause, detail)
}

fn build_response(head: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = header::forwarded(&head.headers);
    response
}

/// Forwards the response body as it arrives.
fn stream_response(
    exchange: Exchange,
    call: Call,
    attempt: Attempt,
    response: Response<agatemill_http::Body>,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let (sender, receiver) = smol::channel::bounded(MAX_BUFFERED_CHUNKS);
    let mut forwarded = build_response(&head, Body::stream(receiver));
    // The head is sent before it is known whether the body is complete.
    let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
    forwarded.headers_mut().insert(header::OUTCOME, unknown);
    let task = async move {
        let result = forward_body(body, &sender, call.deadline).await;
        match result {
            Ok(()) => {
                attempt.record_success();
                exchange.end(Outcome::Complete);
            }
            Err(Interruption::Server(refusal)) => {
                attempt.record_failure();
                exchange.fail(&refusal);
            }
            // The server is not at fault, so the attempt is dropped without a result.
            Err(Interruption::Caller(refusal)) => exchange.fail(&refusal),
        }
        drop(call.permit);
    };
    agatemill_runtime::spawn(task).detach();
    forwarded
}

/// Reason why a response was not forwarded completely.
enum Interruption {
    /// The server did not finish the response.
    Server(Refusal),
    /// The caller did not read the response.
    Caller(Refusal),
}

async fn forward_body(
    mut body: agatemill_http::Body,
    sender: &Sender<Chunk>,
    deadline: Duration,
) -> Result<(), Interruption> {
    loop {
        let left = deadline.saturating_sub(agatemill_runtime::now());
        let frame = match agatemill_runtime::timeout(left, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(_))) => {
                let detail = "the answer of the service broke off";
                return Err(Interruption::Server(interrupted(
                    Cause::ConnectionLost,
                    detail,
                )));
            }
            Some(None) => break,
            None => {
                let detail = "the answer of the service did not end in time";
                return Err(Interruption::Server(interrupted(
                    Cause::DeadlinePassed,
                    detail,
                )));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        send_chunk(sender, Chunk::Data(data), deadline).await?;
    }
    send_chunk(sender, Chunk::End, deadline).await
}

async fn send_chunk(
    sender: &Sender<Chunk>,
    chunk: Chunk,
    deadline: Duration,
) -> Result<(), Interruption> {
    let left = deadline.saturating_sub(agatemill_runtime::now());
    let refusal = match agatemill_runtime::timeout(left, sender.send(chunk)).await {
        Some(Ok(())) => return Ok(()),
        Some(Err(_)) => interrupted(Cause::CallerLeft, "the caller left"),
        None => {
            let detail = "the deadline passed before the answer was read";
            interrupted(Cause::DeadlinePassed, detail)
        }
    };
    Err(Interruption::Caller(refusal))
}

fn interrupted(cause: Cause, detail: &'static str) -> Refusal {
    Refusal::new(Reason::BackendFailed, Phase::Sent, cause, detail)
}
