//! Opens event streams along paths of engines.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::body::Frame;
use log::Level;

use crate::State;
use crate::admission;
use crate::backoff;
use crate::choice;
use crate::choice::Shortage;
use crate::choice::Size;
use crate::counter;
use crate::exchange::Job;
use crate::quarantine;
use crate::quarantine::Denial;
use crate::quarantine::Probe;
use crate::relay::Relay;
use crate::response;
use crate::response::Body;
use crate::runs::Output;
use crate::runs::Runs;
use crate::stall;
use crate::state::Stage;
use crate::throttle;
use crate::turns;
use crate::turns::Turn;
use agatemill_adapter::engine;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::Server;
use agatemill_fleet::admission::Claim;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::path::Missing;

/// Interval between attempts to find a path while none is free.
const PATH_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a stream that waits for room looks for a path although it was not told of any: engines that were avoided may be
/// used again.
const TURN_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the target latency that a request may wait for a free path. Waiting longer makes the response late
/// and delays later requests.
const PATH_WAIT_SHARE: f64 = 0.5;

/// Mean `Retry-After` when no path was free; jittered so that callers do not return together.
const RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// Time for which an engine that rejected a request is avoided; some of its requests end meanwhile.
pub const AVOID_DURATION: Duration = Duration::from_millis(300);

/// Maximum size of the body of an engine's error response, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Timeout of a call that sends a request along another path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(350);

/// What a run starts with.
pub struct Start {
    /// Engines that the stream passes through.
    pub path: Path,
    /// Set if the run decides about suspected parts of its prompt.
    pub probe: Option<Probe>,
}

/// A search for a path on which a run may start.
pub struct Search {
    /// Why the request is sent again; `None` for the first time.
    pub purpose: Option<Purpose>,
    /// What the request may claim.
    pub claim: Claim,
    /// Engines at which the path does not start, since they run the request already.
    pub running: Vec<SocketAddrV4>,
    /// Whether the request may have run, so that its failure could not be reported as not run.
    pub may_have_run: bool,
}

/// Why no run can start.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Obstacle {
    /// Engines crash on a part of the prompt.
    #[display("a part of the prompt is quarantined")]
    Quarantined(Duration),
    /// Another request with a suspected part comes first.
    #[display("a part of the prompt is probed by another request")]
    Suspected,
    /// No path is available.
    #[display("no path is available")]
    NoPath(Missing),
    /// The engines that a run may start at ask for no requests for this time.
    #[display("the engines ask for no requests")]
    Backoff(Duration),
    /// The engines have no room for requests of this urgency; the caller may return after this time.
    #[display("no room for requests of this urgency")]
    Full(Duration),
    /// The retry budget is used up.
    #[display("the retry budget is used up")]
    Budget,
    /// The route allows no further attempt.
    #[display("the attempts are used up")]
    Attempts,
    /// The process exits before the stream is likely to end.
    #[display("the host is leaving")]
    Leaving,
}

/// Opens a stream and returns its response, whose body is relayed as it is read.
///
/// # Errors
///
/// A refusal whose outcome says whether the request may have run.
pub async fn open(
    state: &Arc<State>,
    job: Job,
    active: counter::Guard,
) -> Result<Response<Body>, Refusal> {
    if state.stage() >= Stage::Closing {
        return Err(leaving_refusal());
    }
    let model = job
        .model
        .clone()
        .ok_or_else(|| Refusal::not_run(Reason::NoServer, "the service has no model"))?;
    let size = Size::of(&job, &model);
    let now = agatemill_runtime::now();
    state
        .meter()
        .offer(job.subject(), size.prompt + size.answer, now);
    let job = Arc::new(job);
    let mut runs = Runs::new(state, &job, &model);
    match runs.next().await? {
        Output::Head(head) => {
            let head = response::caller_head(head);
            let relay = Relay::new(state, &job, runs, active);
            let frames = stream::unfold(relay, |mut relay| async move {
                let next = relay.next().await?;
                Some((next.map(Frame::data), relay))
            });
            let body = StreamBody::new(frames.boxed());
            Ok(Response::from_parts(head, body.boxed_unsync()))
        }
        Output::Other(head, body) => {
            let head = response::caller_head(head);
            let body = read_error(state, &job, body).await?;
            let time = agatemill_runtime::now().saturating_sub(job.arrived);
            state.metrics.end_request(Outcome::Complete, time);
            Ok(Response::from_parts(head, response::full(body)))
        }
        Output::Events(_) | Output::Complete => unreachable!("a head comes first"),
    }
}

/// Reads the body of an engine's error response, which is passed on only when it is complete.
async fn read_error(
    state: &State,
    job: &Job,
    body: agatemill_http::Body,
) -> Result<Bytes, Refusal> {
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

/// Finds a path on which a run of a request may start now, and takes what the run needs. The run has to start at once.
///
/// # Errors
///
/// [`Obstacle`] when no path was free in time.
pub async fn find_start(
    state: Arc<State>,
    job: Arc<Job>,
    model: Arc<Model>,
    search: Search,
) -> Result<Start, Obstacle> {
    let (claim, running) = (search.claim, &search.running);
    let purpose = retry_purpose(&state, &job, &search);
    // A path takes credits and a part of the links between zones.
    if purpose.is_some_and(|purpose| !state.has_retry(&job.service, purpose)) {
        return Err(budget_obstacle(&state, &job));
    }
    let size = Size::of(&job, &model);
    throttle::want(&state, &job.service);
    let end = agatemill_runtime::now() + job.route.target_latency.mul_f64(PATH_WAIT_SHARE);
    let attempt = &job.parameters.attempt;
    let tokens = size.prompt + size.answer;
    let mut turn: Option<Turn> = None;
    if state.turns.is_behind(turns::order(&job, claim)) {
        let joined = Turn::join(&state, &job, claim, tokens);
        joined.wait(TURN_RECHECK_INTERVAL).await;
        turn = Some(joined);
    }
    let mut previous = None;
    loop {
        // The shutdown may have begun while the request waited.
        if !search.may_have_run && state.stage() >= Stage::Closing {
            return Err(Obstacle::Leaving);
        }
        let is_last = agatemill_runtime::now() >= end;
        let prompt = &job.parameters.parts;
        let probe = match quarantine::admit(&state, prompt) {
            Ok(probe) => probe,
            Err(Denial::Quarantined(segment, left)) => {
                log::warn!(request:% = attempt, segment:%; "stream: a part of the prompt is quarantined");
                return Err(Obstacle::Quarantined(left));
            }
            Err(Denial::Busy) if is_last => {
                log::warn!(request:% = attempt, segments:% = prompt.summary(), own:? = prompt.own; "stream: a part of the prompt is probed by another request");
                return Err(Obstacle::Suspected);
            }
            Err(Denial::Busy) => {
                agatemill_runtime::sleep(PATH_RETRY_INTERVAL).await;
                continue;
            }
        };
        let path = match choice::choose(&state, &job, &model, size, running, claim) {
            Ok(path) => path,
            Err(shortage) if shortage.missing == Missing::Uptime => return Err(Obstacle::Leaving),
            Err(Shortage {
                missing,
                assessment,
            }) => {
                drop(probe);
                let before = previous.replace(missing);
                if missing == Missing::Backoff
                    && let Some(wait) = common_wait(&state, &job, running)
                {
                    wait_for_backoff(&state, &job, wait, end, running).await?;
                    continue;
                }
                if let Some(assessment) = assessment
                    && matches!(missing, Missing::Room | Missing::Links | Missing::Time)
                    && !(is_last && claim >= Claim::Retried)
                {
                    let is_first = turn.is_none();
                    let limit = match claim {
                        Claim::New => admission::decide(&state, &job, size, &assessment, is_first)?,
                        Claim::Retried | Claim::InProgress => {
                            end.saturating_sub(agatemill_runtime::now())
                        }
                    };
                    let join = || Turn::join(&state, &job, claim, tokens);
                    let waiting = turn.get_or_insert_with(join);
                    waiting.pass();
                    waiting.wait(limit.min(TURN_RECHECK_INTERVAL)).await;
                    continue;
                }
                if is_last || choice::has_gap(&state, &job, &model) {
                    log::warn!(
                        request:% = attempt, missing:?, prompt = size.prompt;
                        "stream: no path available"
                    );
                    return Err(Obstacle::NoPath(missing));
                }
                if missing == Missing::Limit {
                    if before == Some(Missing::Backoff) {
                        // No credits are asked for while a server wants no requests.
                        throttle::want(&state, &job.service);
                    }
                    state.announce_waiting();
                }
                agatemill_runtime::sleep(PATH_RETRY_INTERVAL).await;
                continue;
            }
        };
        let is_denied = |purpose| !state.take_retry(&job.service, purpose);
        if purpose.is_some_and(is_denied) {
            return Err(budget_obstacle(&state, &job));
        }
        if let Some(turn) = turn {
            turn.close();
        }
        return Ok(Start { path, probe });
    }
}

/// Why the request is sent again, for its service's budget of retries.
fn retry_purpose(state: &State, job: &Job, search: &Search) -> Option<Purpose> {
    let is_less_urgent = search.claim == Claim::Retried && admission::is_less_urgent(state, job);
    search.purpose.map(|purpose| match purpose {
        Purpose::Retry if is_less_urgent => Purpose::LessUrgent,
        other => other,
    })
}

fn budget_obstacle(state: &State, job: &Job) -> Obstacle {
    let balance = state.retry_balance(&job.service);
    log::warn!(
        request:% = job.parameters.attempt, service:% = job.service, hosts = balance.hosts,
        requests = balance.requests, retries = balance.retries, allowed = balance.allowed, offset = balance.offset;
        "stream: retry budget used up"
    );
    Obstacle::Budget
}

/// Time until the first engine may be used that a path may start at, if all of them ask for no requests. An engine that is
/// only avoided may be used again sooner.
fn common_wait(state: &State, job: &Job, running: &[SocketAddrV4]) -> Option<Duration> {
    let is_wanted = |server: &Server| !running.contains(&server.address);
    backoff::common_wait(state, &job.service, is_wanted)
}

/// Waits for `wait`, after which an engine may be used, if that is before `end`, or until that changes.
///
/// # Errors
///
/// [`Obstacle::Backoff`] at once when it is not.
async fn wait_for_backoff(
    state: &State,
    job: &Job,
    wait: Duration,
    end: Duration,
    running: &[SocketAddrV4],
) -> Result<(), Obstacle> {
    let end = end.min(job.deadline);
    let left = || end.saturating_sub(agatemill_runtime::now());
    if wait < left() {
        let has_changed = || common_wait(state, job, running).is_none_or(|wait| wait >= left());
        backoff::sleep(wait, left(), has_changed).await;
        return Ok(());
    }
    let missing = Missing::Backoff;
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    log::warn!(
        request:% = job.parameters.attempt, missing:?, wait_ms;
        "stream: no path available"
    );
    Err(Obstacle::Backoff(wait))
}

/// The refusal of a request that engines rejected.
#[must_use]
pub fn overloaded(state: &State, job: &Job) -> Refusal {
    Refusal::not_run(
        Reason::Overloaded,
        "the engines or the links between zones are full",
    )
    .retry_after(admission::promise_after(state, job, jitter(RETRY_AFTER)))
}

/// The refusal of a request that was not sent.
#[must_use]
pub fn refusal(state: &State, job: &Job, obstacle: &Obstacle) -> Refusal {
    let (reason, detail) = match obstacle {
        Obstacle::Quarantined(left) => {
            let detail = "engines crash on a part of the prompt";
            return Refusal::not_run(Reason::Quarantined, detail).retry_after(*left);
        }
        Obstacle::Backoff(wait) => return backoff::refusal(*wait),
        Obstacle::Full(wait) => return admission::refusal(*wait),
        Obstacle::Leaving | Obstacle::NoPath(Missing::Uptime) => return leaving_refusal(),
        Obstacle::Suspected => {
            let detail = "another request with a suspected part of the prompt comes first";
            (Reason::Quarantined, detail)
        }
        Obstacle::NoPath(Missing::Layers) => (Reason::NoChain, "some layers have no engine"),
        Obstacle::NoPath(Missing::Time) => {
            (Reason::Overloaded, "the engines have too much to read")
        }
        Obstacle::NoPath(Missing::Limit) => (
            Reason::Overloaded,
            "the engines have reached their limits on requests",
        ),
        Obstacle::NoPath(Missing::Room | Missing::Links | Missing::Backoff)
        | Obstacle::Budget
        | Obstacle::Attempts => {
            return overloaded(state, job);
        }
    };
    Refusal::not_run(reason, detail).retry_after(jitter(RETRY_AFTER))
}

fn leaving_refusal() -> Refusal {
    Refusal::not_run(Reason::Draining, "the host is leaving").retry_after(Duration::ZERO)
}

fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.7 + 0.6 * fastrand::f64())
}

/// Reroutes a running request around its suspected engines; `None` if that was not possible. It is tried again while the
/// request waits for them; `is_first` limits the log to the first time.
pub async fn repair(state: &Arc<State>, job: &Job, path: &Path, is_first: bool) -> Option<Path> {
    let model = job.model.as_ref()?;
    let repaired = match choice::repair(state, job, model, path) {
        Ok(repaired) => repaired,
        Err(missing) => {
            let level = if is_first { Level::Warn } else { Level::Debug };
            log::log!(
                level, request:% = job.parameters.attempt, missing:?;
                "stream: no path around the lost engines"
            );
            return None;
        }
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
                stall::check(state, &[address]);
            }
            None
        }
    }
}
