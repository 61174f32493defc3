//! Idempotent service calls.

use core::time::Duration;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use smol::channel::Sender;

use crate::body::Body;
use crate::exchange::Exchange;
use crate::header;
use crate::service;
use crate::service::Call;
use crate::services::Run;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_http::Error;

/// Pieces of an answer that wait for a slow caller.
const PIECES: usize = 16;

/// Bounds of the pause before a retry in milliseconds; drawn at random, so that retries of many calls do
/// not come together.
const PAUSE_MS: core::ops::Range<u64> = 5..50;

/// Why another server is tried.
#[derive(Debug)]
struct Failure {
    /// For the counter of retries.
    reason: &'static str,
    /// What the caller is told when no other server is tried.
    refusal: Refusal,
}

/// Sends a call to one server after another until one answers, within the retry budget and the deadline.
/// Nothing is tried again once a part of an answer has been passed on.
///
/// # Errors
///
/// [`Reason::NoServer`], [`Reason::DeadlineExceeded`], or [`Reason::BackendFailed`].
pub async fn run(exchange: &mut Option<Exchange>, call: Call) -> Result<Response<Body>, Refusal> {
    let Some(mut current) = exchange.take() else {
        return Err(call.no_server());
    };
    current.phase = Phase::Admitted;
    let result = attempts(&mut current, &call).await;
    match result {
        Ok((run, response)) => Ok(pass_on(current, call, run, response)),
        Err(refusal) => {
            *exchange = Some(current);
            Err(refusal)
        }
    }
}

async fn attempts(
    exchange: &mut Exchange,
    call: &Call,
) -> Result<(Run, Response<Incoming>), Refusal> {
    let state = Arc::clone(&exchange.state);
    let pool = state
        .services
        .pool(&call.service)
        .ok_or_else(|| call.no_server())?;
    let mut tried: Vec<id::Server> = Vec::new();
    let mut last = call.no_server();
    while let Some(run) = pool.choose(&tried) {
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
        tried.push(run.choice.server.clone());
        // Half of what is left, so that a server that hangs leaves time for another.
        let limit = left / 2;
        let request = call.request(&run.choice)?;
        let before = exchange.phase;
        exchange.phase = Phase::Sent;
        let result = state.services.pooled.send(request, limit).await;
        match check(result, before) {
            Ok(response) => return Ok((run, response)),
            Err(failure) => {
                log::warn!(
                    request:% = exchange.id, server:% = run.choice.server,
                    reason = failure.reason;
                    "service: call failed"
                );
                state.metrics.retried(failure.reason);
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
fn check(
    result: Result<Response<Incoming>, Error>,
    before: Phase,
) -> Result<Response<Incoming>, Failure> {
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
        Ok(response) if service::is_rejected(response.headers()) => Err(Failure {
            reason: "service_rejected",
            refusal: rejected(response.status(), before),
        }),
        Ok(response) => Ok(response),
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
pub fn rejected(status: StatusCode, before: Phase) -> Refusal {
    let detail =
        compact_str::format_compact!("the service answered {status} and did not run the call");
    let cause = if before < Phase::Sent {
        Cause::Rejected
    } else {
        Cause::ConnectionLost
    };
    Refusal::new(Reason::BackendFailed, Phase::Sent, cause, detail)
}

/// Passes the answer on as it arrives.
fn pass_on(
    exchange: Exchange,
    call: Call,
    run: Run,
    response: Response<Incoming>,
) -> Response<Body> {
    let (head, body) = response.into_parts();
    let (sender, receiver) = smol::channel::bounded(PIECES);
    let mut answer = Response::new(Body::stream(receiver));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = header::forwarded(&head.headers);
    let task = async move {
        let result = pump(body, &sender, call.deadline).await;
        match result {
            Ok(()) => {
                run.succeeded();
                exchange.end(Outcome::Complete);
            }
            Err(refusal) => {
                // Cuts the connection, so that the caller does not take a part for the whole.
                let error = io::Error::other(refusal.to_string());
                let _ = sender.send(Err(error)).await;
                exchange.fail(&refusal);
            }
        }
        drop(call.permit);
    };
    agatemill_runtime::spawn(task).detach();
    answer
}

async fn pump(
    mut body: Incoming,
    sender: &Sender<io::Result<Bytes>>,
    deadline: Duration,
) -> Result<(), Refusal> {
    let broken =
        |cause, detail: &str| Refusal::new(Reason::BackendFailed, Phase::Sent, cause, detail);
    loop {
        let left = deadline.saturating_sub(agatemill_runtime::now());
        let frame = match agatemill_runtime::timeout(left, body.frame()).await {
            Some(Some(Ok(frame))) => frame,
            Some(Some(Err(_))) => {
                let detail = "the answer of the service broke off";
                return Err(broken(Cause::ConnectionLost, detail));
            }
            Some(None) => return Ok(()),
            None => {
                let detail = "the answer of the service did not end in time";
                return Err(broken(Cause::DeadlinePassed, detail));
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if sender.send(Ok(data)).await.is_err() {
            return Err(broken(Cause::CallerLeft, "the caller left"));
        }
    }
}
