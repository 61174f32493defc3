//! Non-idempotent service calls, which run at most once.

use std::sync::Arc;

use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::body::Body;
use crate::forward;
use crate::header;
use crate::service;
use crate::service::Call;
use crate::services::Attempt;
use crate::state::State;
use agatemill_core::Cause;
use agatemill_core::Digest;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_http::Error;
use agatemill_ledger::Answer;
use agatemill_ledger::Claim;
use agatemill_ledger::Ticket;
use agatemill_ledger::answer;

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Largest response body that is read from a service, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reads the idempotency key of a request.
///
/// # Errors
///
/// [`Reason::KeyMissing`] without a key and [`Reason::BadRequest`] when the key is empty, too long, not ASCII or
/// given twice.
pub fn idempotency_key(headers: &HeaderMap) -> Result<CompactString, Refusal> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let value = values.next().ok_or_else(|| {
        let detail = "this call is not idempotent and needs the header Idempotency-Key";
        Refusal::not_run(Reason::KeyMissing, detail)
    })?;
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > MAX_KEY_BYTES || values.next().is_some() {
        let detail = "Idempotency-Key: expected one value of 1 to 255 ASCII characters";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(CompactString::new(text))
}

/// Claims a call in the ledger and sends it if the claim is won. The task continues when the caller disconnects,
/// so that the response is recorded.
///
/// # Errors
///
/// Refusals of the claim and failures of the call.
pub async fn run(
    state: &Arc<State>,
    call: Call,
    key: CompactString,
) -> Result<Response<Body>, Refusal> {
    let (sender, receiver) = smol::channel::bounded(1);
    let operation = state.progress.begin();
    let state = Arc::clone(state);
    let task = async move {
        let result = claim_and_send(&state, &call, key).await;
        // Fails only if the caller has disconnected.
        let _ = sender.send(result).await;
        drop(call);
        drop(operation);
    };
    agatemill_runtime::spawn(task).detach();
    let lost = |_| {
        Err(Refusal::new(
            Reason::BackendFailed,
            Phase::Sent,
            Cause::ConnectionLost,
            "the call ended without a result",
        ))
    };
    receiver.recv().await.unwrap_or_else(lost)
}

async fn claim_and_send(
    state: &State,
    call: &Call,
    key: CompactString,
) -> Result<Response<Body>, Refusal> {
    let ledger = state.ledger.as_ref().ok_or_else(|| {
        let detail = "this entry has no platform to record the call on";
        Refusal::not_run(Reason::PlatformUnavailable, detail)
    })?;
    let settings = &call.configuration.document.settings;
    let claim = agatemill_ledger::Call {
        half: call.organisation.half.clone(),
        organisation: call.organisation.name.clone(),
        key,
        body: digest(call),
        deadline: call.deadline,
        retention: settings.call_retention.to_duration(),
        answer_limit: settings.call_answer_limit,
    };
    match ledger.claim(&claim).await? {
        Claim::Done(answer) => {
            state.metrics.count_event("ledger", "replayed");
            let mut response = to_response(&answer);
            let replayed = HeaderValue::from_static("true");
            response.headers_mut().insert(header::REPLAYED, replayed);
            Ok(response)
        }
        Claim::Won(ticket) => send(state, call, *ticket).await,
    }
}

/// Digest of everything in which a repeated call must equal the first one.
fn digest(call: &Call) -> Digest {
    let name = &call.service.name;
    let mut text = format!("{} {name}{}\n", call.method, call.target).into_bytes();
    text.extend_from_slice(&call.body);
    Digest::of(&text)
}

/// Sends the call to a server; tries another one only if no connection could be opened.
async fn send(state: &State, call: &Call, mut ticket: Ticket) -> Result<Response<Body>, Refusal> {
    let Some(pool) = state.services.pool(&call.service) else {
        ticket.not_run().await;
        return Err(call.no_server_refusal());
    };
    let mut tried: Vec<id::Server> = Vec::new();
    let mut last = call.no_server_refusal();
    while let Some(attempt) = pool.choose(&tried) {
        tried.push(attempt.choice.server.clone());
        let now = agatemill_runtime::now();
        let request = match call.request(&attempt.choice) {
            Ok(request) => request,
            Err(refusal) => {
                last = refusal;
                break;
            }
        };
        if let Err(refusal) = ticket.may_send(now) {
            last = refusal;
            break;
        }
        let limit = call.deadline.saturating_sub(now);
        let result = state
            .services
            .unpooled
            .fetch(request, limit, MAX_RESPONSE_BYTES)
            .await;
        match result {
            Err(error) if error.is_not_sent() => {
                attempt.record_failure();
                state.metrics.count_retry("service_connect");
                last = failure(&error);
            }
            other => return record(state, ticket, attempt, other).await,
        }
    }
    ticket.not_run().await;
    Err(last)
}

/// Records the result of a call that was sent. Without a response the ticket is dropped, which leaves the record
/// in the state `begun`: the call must not be sent again.
async fn record(
    state: &State,
    ticket: Ticket,
    attempt: Attempt,
    result: Result<Response<bytes::Bytes>, Error>,
) -> Result<Response<Body>, Refusal> {
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            attempt.record_failure();
            state.metrics.count_event("ledger", "outcome_unknown");
            return Err(failure(&error));
        }
    };
    attempt.record_success();
    if service::is_rejected(response.headers()) {
        ticket.not_run().await;
        return Err(forward::rejection(response.status(), Phase::Admitted));
    }
    let answer = to_answer(&response);
    ticket.finish(answer.clone()).await;
    Ok(to_response(&answer))
}

fn failure(error: &Error) -> Refusal {
    let (reason, phase, cause) = match error {
        // No part of the request has left the process.
        Error::Connect(_) => (Reason::BackendFailed, Phase::Admitted, Cause::ConnectFailed),
        Error::TimedOut => (Reason::DeadlineExceeded, Phase::Sent, Cause::DeadlinePassed),
        Error::Lost(_) | Error::Invalid(_) | Error::TooLarge { .. } | Error::BuffersFull { .. } => {
            (Reason::BackendFailed, Phase::Sent, Cause::ConnectionLost)
        }
    };
    let detail = compact_str::format_compact!("the service did not answer: {error}");
    Refusal::new(reason, phase, cause, detail)
}

fn to_answer(response: &Response<bytes::Bytes>) -> Answer {
    let headers = header::forwarded(response.headers());
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = value.to_str().ok()?;
        Some(answer::Header {
            name: CompactString::new(name.as_str()),
            value: CompactString::new(value),
        })
    };
    Answer {
        status: response.status().as_u16(),
        headers: headers.iter().filter_map(text).collect(),
        body: response.body().to_vec(),
    }
}

fn to_response(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(Body::full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for header in &answer.headers {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::try_from(header.value.as_str());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
