//! Opens event streams along paths of engines.

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::State;
use crate::call;
use crate::choice;
use crate::choice::Size;
use crate::clock;
use crate::exchange::Job;
use crate::quarantine;
use crate::quarantine::Denial;
use crate::quarantine::Probe;
use crate::relay::Relay;
use crate::reservation::Reservation;
use crate::response;
use crate::response::Body;
use crate::stall;
use crate::stall::Finding;
use crate::state::RequestGuard;
use crate::state::Stage;
use crate::throttle;
use agatemill_adapter::engine;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Attempts;
use agatemill_fleet::Path;
use agatemill_fleet::path::Missing;

/// Time without a response head after which the first engine is queried for the engine that it waits for: well
/// above the usual time to the first event, and early enough to send the request elsewhere.
const HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Interval between attempts to find a path while none is free.
const PATH_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Share of the target latency that a request may wait for a free path. Waiting longer makes the response late
/// and delays later requests.
const PATH_WAIT_SHARE: f64 = 0.5;

/// Mean `Retry-After` when no path was free; jittered so that callers do not return together.
const RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// Time for which an engine that rejected a request is avoided; some of its requests end meanwhile.
pub const AVOID_DURATION: Duration = Duration::from_millis(300);

/// Time for which an engine that refused a connection is suspected to be lost.
pub const SUSPECT_DURATION: Duration = Duration::from_millis(1_500);

/// Maximum size of the body of an engine's error response, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Timeout of a call that sends a request along another path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(350);

/// A stream that an engine has started.
pub struct OpenStream {
    /// Response of the first engine; its body has not been read.
    pub response: Response<Incoming>,
    /// The run that began.
    pub run: Run,
}

/// A run of a stream on engines.
#[derive(Debug)]
pub struct Run {
    /// Engines that the stream passes through.
    pub path: Path,
    /// Load of the stream on the engines.
    pub reservation: Reservation,
    /// Set while the run decides about suspected parts of its prompt.
    pub probe: Option<Probe>,
}

/// Why a stream could not be opened.
enum OpenError {
    /// The engines stated that they did not run the request, or it was not sent.
    NotRun(Cause),
    /// The request may have run.
    Unknown(Cause),
    /// The request may have run, and the first engine is lost.
    FirstLost,
}

/// Opens a stream and returns its response, whose body is relayed as it is read.
///
/// # Errors
///
/// A refusal whose outcome says whether the request may have run.
pub async fn open(
    state: &Arc<State>,
    job: Job,
    active: RequestGuard,
) -> Result<Response<Body>, Refusal> {
    if state.stage() == Stage::Closing {
        return Err(
            Refusal::not_run(Reason::Draining, "the host is leaving").retry_after(Duration::ZERO)
        );
    }
    let job = Arc::new(job);
    let mut attempts = Attempts::default();
    let opened = begin(state, &job, None, &mut attempts).await?;
    let (mut head, body) = opened.response.into_parts();
    head.headers = header::end_to_end(&head.headers);
    // A resumed stream may differ in length from what its first engine stated.
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    if head.status != StatusCode::OK {
        let body = read_error(state, &job, body).await?;
        let time = agatemill_runtime::now().saturating_sub(job.arrived);
        state.metrics.end_request(Outcome::Complete, time);
        return Ok(Response::from_parts(head, response::full(body)));
    }
    let relay = Relay::new(state, &job, body, opened.run, attempts, active);
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let body = StreamBody::new(frames.boxed());
    Ok(Response::from_parts(head, body.boxed_unsync()))
}

/// Reads the body of an engine's error response, which is passed on only when it is complete.
async fn read_error(state: &State, job: &Job, body: Incoming) -> Result<Bytes, Refusal> {
    let left = job.time_left(agatemill_runtime::now());
    let read = state.pooled.read(body, MAX_ERROR_BYTES);
    let (cause, error) = match agatemill_runtime::timeout(left, read).await {
        Some(Ok(body)) => return Ok(body),
        Some(Err(error)) => (Cause::ConnectionLost, error),
        None => (Cause::DeadlinePassed, agatemill_http::Error::TimedOut),
    };
    log::warn!(request:% = job.parameters.attempt, error:%; "stream: incomplete error response of the engine");
    Err(Refusal::new(
        Reason::BackendFailed,
        Phase::Sent,
        cause,
        "the engine's error response is incomplete",
    ))
}

/// Sends a request along paths until an engine starts the stream. With `last_event`, the stream continues after
/// that event.
///
/// # Errors
///
/// A refusal whose outcome says whether the request may have run.
pub async fn begin(
    state: &Arc<State>,
    job: &Arc<Job>,
    last_event: Option<&str>,
    attempts: &mut Attempts,
) -> Result<OpenStream, Refusal> {
    let model = job
        .model
        .clone()
        .ok_or_else(|| Refusal::not_run(Reason::NoServer, "the service has no model"))?;
    let size = Size::of(job, &model);
    throttle::want(state, &job.service);
    let began = agatemill_runtime::now();
    let timeout = job.route.target_latency.mul_f64(PATH_WAIT_SHARE);
    loop {
        if is_exhausted(state, job, attempts) {
            return Err(failure(attempts, Cause::ConnectionLost));
        }
        let now = agatemill_runtime::now();
        if job.time_left(now).is_zero() {
            return Err(failure(attempts, Cause::DeadlinePassed));
        }
        let prompt = &job.parameters.parts;
        let probe = match quarantine::admit(state, prompt) {
            Ok(probe) => probe,
            Err(Denial::Quarantined(segment, left)) => {
                log::warn!(request:% = job.parameters.attempt, segment:%; "stream: a part of the prompt is quarantined");
                return Err(quarantined(attempts, left));
            }
            Err(Denial::Busy) if now >= began + timeout => {
                log::warn!(request:% = job.parameters.attempt, segments:? = prompt.shared, own:? = prompt.own; "stream: a part of the prompt is probed by another request");
                return Err(suspected(attempts));
            }
            Err(Denial::Busy) => {
                agatemill_runtime::sleep(PATH_RETRY_INTERVAL).await;
                continue;
            }
        };
        let path = match choice::choose(state, job, &model, size) {
            Ok(path) => path,
            Err(missing) => {
                if now >= began + timeout {
                    log::warn!(
                        request:% = job.parameters.attempt, missing:?, prompt = size.prompt;
                        "stream: no path available"
                    );
                    return Err(no_path(attempts, missing));
                }
                if missing == Missing::Limit {
                    state.announce_waiting();
                }
                agatemill_runtime::sleep(PATH_RETRY_INTERVAL).await;
                continue;
            }
        };
        if attempts.sent() > 0 && !state.take_retry(&job.service) {
            let balance = state.retry_balance(&job.service);
            log::warn!(
                request:% = job.parameters.attempt, service:% = job.service, hosts = balance.hosts,
                requests = balance.requests, retries = balance.retries, allowed = balance.allowed;
                "stream: retry budget used up"
            );
            return Err(failure(attempts, Cause::Refused));
        }
        attempts.record_send();
        let first = path.first().clone();
        let cause = match send(state, job, path, size, last_event, probe).await {
            Ok(opened) => {
                attempts.record_run(first.server, first.address);
                return Ok(opened);
            }
            Err(OpenError::NotRun(cause)) => {
                attempts.record_rejection();
                cause
            }
            Err(OpenError::Unknown(cause)) => {
                attempts.record_run(first.server.clone(), first.address);
                if cause == Cause::ConnectionLost {
                    quarantine::record_loss(state, &job.parameters.attempt, prompt, &first).await;
                }
                cause
            }
            Err(OpenError::FirstLost) => {
                attempts.record_run(first.server.clone(), first.address);
                attempts.record_loss();
                Cause::ConnectionLost
            }
        };
        state.metrics.count_retry("stream");
        log::info!(
            request:% = job.parameters.attempt, server:% = first.server, cause:%, runs = attempts.runs(),
            losses = attempts.losses(), rejections = attempts.rejections(),
            segments:? = job.parameters.parts.shared;
            "stream: attempt failed"
        );
        let may_have_run = attempts.runs() > 0 && !job.route.is_repeatable();
        if is_exhausted(state, job, attempts) || may_have_run {
            return Err(failure(attempts, cause));
        }
    }
}

/// Whether the route of a request allows no further attempt.
fn is_exhausted(state: &State, job: &Job, attempts: &Attempts) -> bool {
    let view = state.view();
    let servers = view.servers(&job.service);
    attempts.is_exhausted(job.route.max_attempts, |id, address| {
        servers
            .iter()
            .any(|server| &server.id == id && server.address == address)
    })
}

/// The refusal of a request that no engine started.
fn failure(attempts: &Attempts, cause: Cause) -> Refusal {
    if attempts.runs() > 0 {
        let reason = if cause == Cause::DeadlinePassed {
            Reason::DeadlineExceeded
        } else {
            Reason::BackendFailed
        };
        return Refusal::new(reason, Phase::Sent, cause, "the engines did not answer");
    }
    Refusal::not_run(
        Reason::Overloaded,
        "the engines or the links between zones are full",
    )
    .retry_after(jitter(RETRY_AFTER))
}

/// The refusal of a request with a suspected part that another request probes.
fn suspected(attempts: &Attempts) -> Refusal {
    if attempts.runs() > 0 {
        return failure(attempts, Cause::Refused);
    }
    let detail = "another request with a suspected part of the prompt comes first";
    Refusal::not_run(Reason::Quarantined, detail).retry_after(jitter(RETRY_AFTER))
}

/// The refusal of a request with a part on which engines crash.
fn quarantined(attempts: &Attempts, left: Duration) -> Refusal {
    if attempts.runs() > 0 {
        return failure(attempts, Cause::Refused);
    }
    Refusal::not_run(Reason::Quarantined, "engines crash on a part of the prompt").retry_after(left)
}

fn no_path(attempts: &Attempts, missing: Missing) -> Refusal {
    if attempts.runs() > 0 {
        return failure(attempts, Cause::Refused);
    }
    let (reason, detail) = match missing {
        Missing::Layers => (Reason::NoChain, "some layers have no engine"),
        Missing::Room => (
            Reason::Overloaded,
            "the engines or the links between zones are full",
        ),
        Missing::Time => (Reason::Overloaded, "the engines have too much to read"),
        Missing::Limit => (
            Reason::Overloaded,
            "the engines have reached their limits on requests",
        ),
    };
    Refusal::not_run(reason, detail).retry_after(jitter(RETRY_AFTER))
}

fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.7 + 0.6 * fastrand::f64())
}

async fn send(
    state: &Arc<State>,
    job: &Arc<Job>,
    mut path: Path,
    size: Size,
    last_event: Option<&str>,
    probe: Option<Probe>,
) -> Result<OpenStream, OpenError> {
    let mut reservation = Reservation::on_path(state, &path, size.prompt, size.answer);
    let left = job.time_left(agatemill_runtime::now());
    let first = path.first().clone();
    let overrides = header::Overrides {
        deadline: left,
        server: &first.server,
        organisation: job.organisation.as_ref().map(|holder| holder.name.as_str()),
        priority: job.priority(),
        path: Some(&path),
        last_event,
    };
    let request = call::forward(job, first.address, overrides);
    let sent = clock::boot_time();
    let mut response = Box::pin(state.pooled.send(request, left)).fuse();
    let result = loop {
        let timeout = agatemill_runtime::sleep(HEAD_STALL_TIMEOUT).fuse();
        let mut timeout = core::pin::pin!(timeout);
        futures::select_biased! {
            result = response => break result,
            () = timeout => {}
        }
        match stall::investigate(state, &path, &job.parameters.attempt).await {
            Finding::Slow => {}
            Finding::FirstLost => return Err(OpenError::FirstLost),
            Finding::PartLost => {
                if let Some(repaired) = repair(state, job, &path).await {
                    reservation = Reservation::on_path(state, &repaired, size.prompt, size.answer);
                    path = repaired;
                } else if job.route.is_repeatable() {
                    return Err(OpenError::Unknown(Cause::ConnectionLost));
                }
            }
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => {
            state.suspect(first.address, SUSPECT_DURATION, "no connection");
            return Err(OpenError::NotRun(Cause::ConnectFailed));
        }
        Err(agatemill_http::Error::TimedOut) => {
            return Err(OpenError::Unknown(Cause::DeadlinePassed));
        }
        Err(_) => return Err(OpenError::Unknown(Cause::ConnectionLost)),
    };
    throttle::observe(state, &first.server, response.headers(), sent);
    if header::is_not_run(response.status(), response.headers()) {
        let faulty = header::faulty_server(response.headers()).unwrap_or(first.address);
        state.avoid(faulty, AVOID_DURATION, "it rejected a request");
        return Err(OpenError::NotRun(Cause::Rejected));
    }
    if response.status().is_success() && !header::is_sealed(response.headers()) {
        state.metrics.count_dropped_answer("unsealed");
        return Err(OpenError::Unknown(Cause::ConnectionLost));
    }
    if !header::is_answer_to(&job.parameters.attempt, response.headers()) {
        state.metrics.count_dropped_answer("other_attempt");
        return Err(OpenError::Unknown(Cause::ConnectionLost));
    }
    let run = Run {
        path,
        reservation,
        probe,
    };
    Ok(OpenStream { response, run })
}

/// Reroutes a running request around its lost engines; `None` if that was not possible.
pub async fn repair(state: &Arc<State>, job: &Job, path: &Path) -> Option<Path> {
    let model = job.model.as_ref()?;
    let repaired = choice::repair(state, job, model, path);
    let Ok(repaired) = repaired else {
        log::warn!(
            request:% = job.parameters.attempt, missing:? = repaired.err();
            "stream: no path around the lost engines"
        );
        return None;
    };
    let result = engine::repath(
        &state.pooled,
        &job.parameters.attempt,
        &repaired,
        REPATH_TIMEOUT,
    )
    .await;
    state.metrics.count_event(
        "stream",
        if result.is_ok() {
            "repathed"
        } else {
            "repath_failed"
        },
    );
    match result {
        Ok(()) => {
            log::info!(
                request:% = job.parameters.attempt, path:% = header::encode_path(repaired.parts());
                "stream: rerouted around the lost engines"
            );
            Some(repaired)
        }
        Err(error) => {
            log::warn!(request:% = job.parameters.attempt, error:%; "stream: cannot reroute around the lost engines");
            if let engine::Failure::Refused {
                address: Some(address),
                ..
            } = error
            {
                state.avoid(address, AVOID_DURATION, "it refused a part");
            }
            None
        }
    }
}
