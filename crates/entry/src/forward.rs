//! Idempotent service calls.

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
use hyper::body::Incoming;
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

/// Pieces of an answer that wait for a slow caller.
const PIECES: usize = 16;

/// Bounds of the pause before a retry in milliseconds; drawn at random, so that retries of many calls do
/// not come together.
const PAUSE_MS: core::ops::Range<u64> = 5..50;

/// Longest answer that is read whole before it is passed on. A server that breaks off a short answer can
/// then be replaced by another one.
const WHOLE_BYTES: usize = 64 << 10;

/// Answer of a server.
#[derive(Debug)]
enum Reply {
    /// The whole answer.
    Whole(Response<Bytes>),
    /// A long answer, or one of unknown length, of which only the head has arrived.
    Begun(Response<Incoming>),
}

/// Why another server is tried.
#[derive(Debug)]
struct Failure {
    /// For the counter of retries.
    reason: &'static str,
    /// What the caller is told when no other server is tried.
    refusal: Refusal,
}

impl Reply {
    fn status(&self) -> StatusCode {
        match self {
            Self::Whole(response) => response.status(),
            Self::Begun(response) => response.status(),
        }
    }

    fn headers(&self) -> &HeaderMap {
        match self {
            Self::Whole(response) => response.headers(),
            Self::Begun(response) => response.headers(),
        }
    }
}

/// Sends a call to one server after another until one answers, within the retry budget and the deadline.
/// Nothing is tried again once a part of an answer has been passed on.
///
/// # Errors
///
/// [`Reason::NoServer`], [`Reason::DeadlineExceeded`], or [`Reason::BackendFailed`].
pub async fn run(exchange: &mut Option<Exchange>, call: Call) -> Result<Response<Body>, Refusal> {
    let Some(mut current) = exchange.take() else {
        return Err(call.no_server_refusal());
    };
    current.phase = Phase::Admitted;
    let result = attempts(&mut current, &call).await;
    match result {
        Ok((attempt, Reply::Whole(response))) => {
            attempt.record_success();
            *exchange = Some(current);
            let (head, body) = response.into_parts();
            Ok(answer(&head, Body::full(body)))
        }
        Ok((attempt, Reply::Begun(response))) => Ok(pass_on(current, call, attempt, response)),
        Err(refusal) => {
            *exchange = Some(current);
            Err(refusal)
        }
    }
}

async fn attempts(exchange: &mut Exchange, call: &Call) -> Result<(Attempt, Reply), Refusal> {
    let state = Arc::clone(&exchange.state);
    let pool = state
        .services
        .pool(&call.service)
        .ok_or_else(|| call.no_server_refusal())?;
    let mut tried: Vec<id::Server> = Vec::new();
    let mut last = call.no_server_refusal();
    let mut reason = None;
    while let Some(attempt) = pool.choose(&tried) {
        let left = remaining(call, exchange.phase)?;
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
        // Half of what is left, so that a server that hangs leaves time for another.
        let limit = left / 2;
        let request = call.request(&attempt.choice)?;
        let before = exchange.phase;
        exchange.phase = Phase::Sent;
        let result = fetch(&state.services.pooled, request, limit).await;
        match check(result, before) {
            Ok(reply) => return Ok((attempt, reply)),
            Err(failure) => {
                log::warn!(
                    request:% = exchange.id, server:% = attempt.choice.server,
                    reason = failure.reason;
                    "service: call failed"
                );
                attempt.record_failure();
                reason = Some(failure.reason);
                // As long as no server can have run the call, "not run" stays true.
                if failure.refusal.outcome == Outcome::NotRun {
                    exchange.phase = before;
                }
                last = failure.refusal;
            }
        }
        agatemill_runtime::sleep(Duration::from_millis(fastrand::u64(PAUSE_MS))).await;
    }
    Err(last)
}

/// Sends a request and reads the answer, if it is short, or else its head.
async fn fetch(
    client: &Client,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Reply, Error> {
    let exchange = async {
        let response = client.send(request, limit).await?;
        let length = response.body().size_hint().exact();
        if length.is_none_or(|length| length > WHOLE_BYTES as u64) {
            return Ok(Reply::Begun(response));
        }
        let (head, body) = response.into_parts();
        let body = agatemill_http::client::read(body, WHOLE_BYTES).await?;
        Ok(Reply::Whole(Response::from_parts(head, body)))
    };
    agatemill_runtime::timeout(limit, exchange)
        .await
        .unwrap_or(Err(Error::TimedOut))
}

/// What is left of a call's time.
fn remaining(call: &Call, phase: Phase) -> Result<Duration, Refusal> {
    let left = call.deadline.saturating_sub(agatemill_runtime::now());
    if left.is_zero() {
        let detail = "the deadline passed before the service answered";
        let reason = Reason::DeadlineExceeded;
        return Err(Refusal::new(reason, phase, Cause::DeadlinePassed, detail));
    }
    Ok(left)
}

/// Sorts out failures. `before` is the phase before this attempt: "sent" when an earlier attempt may have
/// run the call.
fn check(result: Result<Reply, Error>, before: Phase) -> Result<Reply, Failure> {
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

/// The refusal when a backend server says that it did not run a call. `before` is the phase before this
/// attempt: what the server says does not hold for an earlier attempt.
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

fn answer(head: &Parts, body: Body) -> Response<Body> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = header::forwarded(&head.headers);
    answer
}

/// Passes the answer on as it arrives.
fn pass_on(
    exchange: Exchange,
    call: Call,
    attempt: Attempt,
    response: Response<Incoming>,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let (sender, receiver) = smol::channel::bounded(PIECES);
    let mut answer = answer(&head, Body::stream(receiver));
    // The head leaves before it is known whether the answer is whole.
    let unknown = HeaderValue::from_static(Outcome::Unknown.as_str());
    answer.headers_mut().insert(header::OUTCOME, unknown);
    let task = async move {
        let result = pump(body, &sender, call.deadline).await;
        match result {
            Ok(()) => {
                attempt.record_success();
                exchange.end(Outcome::Complete);
            }
            Err(Break::Server(refusal)) => {
                attempt.record_failure();
                exchange.fail(&refusal);
            }
            // Nothing is held against the server; dropping the run gives it up.
            Err(Break::Caller(refusal)) => exchange.fail(&refusal),
        }
        drop(call.permit);
    };
    agatemill_runtime::spawn(task).detach();
    answer
}

/// Why an answer was not passed on whole.
enum Break {
    /// The server did not finish it.
    Server(Refusal),
    /// The caller did not take it.
    Caller(Refusal),
}

async fn pump(mut body: Incoming, sender: &Sender<Chunk>, deadline: Duration) -> Result<(), Break> {
    loop {
        let left = deadline.saturating_sub(agatemill_runtime::now());
        let frame = match agatemill_runtime::timeout(left, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(_))) => {
                let detail = "the answer of the service broke off";
                return Err(Break::Server(broken(Cause::ConnectionLost, detail)));
            }
            Some(None) => break,
            None => {
                let detail = "the answer of the service did not end in time";
                return Err(Break::Server(broken(Cause::DeadlinePassed, detail)));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        pass(sender, Chunk::Data(data), deadline).await?;
    }
    pass(sender, Chunk::End, deadline).await
}

async fn pass(sender: &Sender<Chunk>, piece: Chunk, deadline: Duration) -> Result<(), Break> {
    let left = deadline.saturating_sub(agatemill_runtime::now());
    let refusal = match agatemill_runtime::timeout(left, sender.send(piece)).await {
        Some(Ok(())) => return Ok(()),
        Some(Err(_)) => broken(Cause::CallerLeft, "the caller left"),
        None => {
            let detail = "the deadline passed before the answer was read";
            broken(Cause::DeadlinePassed, detail)
        }
    };
    Err(Break::Caller(refusal))
}

fn broken(cause: Cause, detail: &'static str) -> Refusal {
    Refusal::new(Reason::BackendFailed, Phase::Sent, cause, detail)
}
