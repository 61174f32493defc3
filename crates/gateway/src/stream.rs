//! Opens event streams on paths of engines.

use core::time::Duration;
use std::io;
use std::sync::Arc;

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
use crate::answer::Body;
use crate::call;
use crate::choice;
use crate::choice::Size;
use crate::exchange::Job;
use crate::outstanding::Outstanding;
use crate::relay::Relay;
use crate::stall;
use crate::stall::Finding;
use crate::state::Active;
use crate::state::Stage;
use agatemill_adapter::engine;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Path;
use agatemill_fleet::path::Missing;

/// Time without a head after which the first engine is asked what it waits for: well above the usual time
/// to the first event, and early enough to send the request elsewhere.
const HEAD_PATIENCE: Duration = Duration::from_millis(450);

/// Pause between looks for a path while none is free.
const PATH_PAUSE: Duration = Duration::from_millis(40);

/// Share of the time in which a first event is on time that a request may wait for a free path. Waiting
/// longer makes the answer late and holds up those that come after.
const PATH_PATIENCE: f64 = 0.5;

/// When a caller may come back after no path was free; spread so that they do not return together.
const RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// How long an engine that rejected a request gets no others: some requests end meanwhile.
const AVOID: Duration = Duration::from_millis(300);

/// How long an engine that refused a connection is taken for lost.
const LOST: Duration = Duration::from_millis(1_500);

/// Most paths that a request is offered to when their engines state that they did not run it.
const MAX_REJECTIONS: u32 = 4;

/// Longest call to send a request along another path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(350);

/// Most engines that a stream may lose one after the other before it is given up.
const MAX_LOSSES: u32 = 4;

/// A stream that an engine has begun.
pub struct Opened {
    /// Answer of the first engine; its body has not been read.
    pub response: Response<Incoming>,
    /// Engines that the stream passes through.
    pub path: Path,
    /// The work that it is.
    pub outstanding: Outstanding,
}

/// Why a stream was not opened.
enum Closed {
    /// Engines stated that they did not run the request, or it was not sent.
    NotRun(Cause),
    /// It may have run.
    Unknown(Cause),
    /// It may have run, and an engine of its path is lost.
    Lost,
}

/// Opens a stream and returns its answer, whose body goes on by itself.
///
/// # Errors
///
/// A refusal whose outcome says whether the request may have run.
pub async fn open(state: &Arc<State>, job: Job, active: Active) -> Result<Response<Body>, Refusal> {
    if state.stage() == Stage::Closing {
        return Err(
            Refusal::not_run(Reason::Draining, "the host is leaving").retry_after(Duration::ZERO)
        );
    }
    let job = Arc::new(job);
    let mut tries = Tries::default();
    let opened = begin(state, &job, None, &mut tries).await?;
    let (mut head, body) = opened.response.into_parts();
    head.headers = header::end_to_end(&head.headers);
    if head.status != StatusCode::OK {
        // The engine's own failure, as it is.
        let body = body.map_err(io::Error::other);
        return Ok(Response::from_parts(head, body.boxed_unsync()));
    }
    // A stream that is resumed need not have the length that its first engine stated.
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let relay = Relay::new(
        state,
        &job,
        body,
        opened.path,
        opened.outstanding,
        tries,
        active,
    );
    let frames = stream::unfold(relay, |mut relay| async move {
        let next = relay.next().await?;
        Some((next.map(Frame::data), relay))
    });
    let body = StreamBody::new(frames.boxed());
    Ok(Response::from_parts(head, body.boxed_unsync()))
}

/// Engines that one attempt of a caller was sent to.
#[derive(Debug, Default)]
pub struct Tries {
    /// Times that it was sent.
    sent: u32,
    /// Times that it may have run.
    runs: u32,
    rejections: u32,
    /// Runs that ended because an engine was lost; they do not count towards the route's limit.
    losses: u32,
}

impl Tries {
    /// Notes that the stream's last run ended because an engine was lost.
    pub fn lost(&mut self) {
        self.losses += 1;
    }

    /// Whether the attempt may not be sent once more.
    fn is_spent(&self, max_attempts: u32) -> bool {
        let runs = self.runs.saturating_sub(self.losses);
        runs >= max_attempts || self.losses >= MAX_LOSSES || self.rejections >= MAX_REJECTIONS
    }
}

/// Sends a request along paths until an engine begins the stream, or goes on with one after the event
/// `last_event`.
///
/// # Errors
///
/// A refusal whose outcome says whether the request may have run.
pub async fn begin(
    state: &Arc<State>,
    job: &Arc<Job>,
    last_event: Option<&str>,
    tries: &mut Tries,
) -> Result<Opened, Refusal> {
    let model = job
        .model
        .clone()
        .ok_or_else(|| Refusal::not_run(Reason::NoServer, "the service has no model"))?;
    let size = Size::of(job, &model);
    let began = agatemill_runtime::now();
    loop {
        if tries.is_spent(job.route.max_attempts) {
            return Err(failure(tries, Cause::ConnectionLost));
        }
        let now = agatemill_runtime::now();
        if job.left(now).is_zero() {
            return Err(failure(tries, Cause::DeadlinePassed));
        }
        let path = match choice::choose(state, job, &model, size) {
            Ok(path) => path,
            Err(missing) => {
                let patience = job.route.target_latency.mul_f64(PATH_PATIENCE);
                if now >= began + patience {
                    log::warn!(request:% = job.demand.attempt, missing:?, prompt = size.prompt; "stream: no path");
                    return Err(no_path(tries, missing));
                }
                agatemill_runtime::sleep(PATH_PAUSE).await;
                continue;
            }
        };
        if tries.sent > 0 && !state.take_repeat(&job.service) {
            log::warn!(request:% = job.demand.attempt; "stream: retry budget used up");
            return Err(failure(tries, Cause::Refused));
        }
        tries.sent += 1;
        let cause = match send(state, job, path, size, last_event).await {
            Ok(opened) => {
                tries.runs += 1;
                return Ok(opened);
            }
            Err(Closed::NotRun(cause)) => {
                tries.rejections += 1;
                cause
            }
            Err(Closed::Unknown(cause)) => {
                tries.runs += 1;
                cause
            }
            Err(Closed::Lost) => {
                tries.runs += 1;
                tries.lost();
                Cause::ConnectionLost
            }
        };
        state.metrics.count_retry("stream");
        log::info!(
            request:% = job.demand.attempt, cause:%, runs = tries.runs, rejections = tries.rejections;
            "stream: not opened"
        );
        let may_have_run = tries.runs > 0 && !job.route.is_repeatable();
        if tries.is_spent(job.route.max_attempts) || may_have_run {
            return Err(failure(tries, cause));
        }
    }
}

/// The refusal of a request that no engine began.
fn failure(tries: &Tries, cause: Cause) -> Refusal {
    if tries.runs > 0 {
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
    .retry_after(spread(RETRY_AFTER))
}

fn no_path(tries: &Tries, missing: Missing) -> Refusal {
    if tries.runs > 0 {
        return failure(tries, Cause::Refused);
    }
    let (reason, detail) = match missing {
        Missing::Layers => (Reason::NoChain, "some layers have no engine"),
        Missing::Room => (
            Reason::Overloaded,
            "the engines or the links between zones are full",
        ),
        Missing::Time => (Reason::Overloaded, "the engines have too much to read"),
    };
    Refusal::not_run(reason, detail).retry_after(spread(RETRY_AFTER))
}

fn spread(time: Duration) -> Duration {
    time.mul_f64(0.7 + 0.6 * fastrand::f64())
}

async fn send(
    state: &Arc<State>,
    job: &Arc<Job>,
    mut path: Path,
    size: Size,
    last_event: Option<&str>,
) -> Result<Opened, Closed> {
    let mut outstanding = Outstanding::on_path(state, &path, size.prompt, size.answer);
    let left = job.left(agatemill_runtime::now());
    let first = path.first().clone();
    let instruction = header::Instruction {
        deadline: left,
        server: &first.server,
        organisation: job.organisation.as_ref().map(|holder| holder.name.as_str()),
        priority: job.priority(),
        path: Some(&path),
        last_event,
    };
    let request = call::forward(job, first.address, instruction);
    let mut answer = Box::pin(state.shared.send(request, left)).fuse();
    let result = loop {
        let patience = agatemill_runtime::sleep(HEAD_PATIENCE).fuse();
        let mut patience = core::pin::pin!(patience);
        futures::select_biased! {
            result = answer => break result,
            () = patience => {}
        }
        match stall::investigate(state, &path, &job.demand.attempt).await {
            Finding::Slow => {}
            Finding::FirstLost => return Err(Closed::Lost),
            Finding::PartLost => {
                if let Some(repaired) = repair(state, job, &path).await {
                    outstanding = Outstanding::on_path(state, &repaired, size.prompt, size.answer);
                    path = repaired;
                } else if job.route.is_repeatable() {
                    return Err(Closed::Lost);
                }
            }
        }
    };
    let response = match result {
        Ok(response) => response,
        Err(error) if error.is_not_sent() => {
            state.suspect(first.address, LOST, "no connection");
            return Err(Closed::NotRun(Cause::ConnectFailed));
        }
        Err(agatemill_http::Error::TimedOut) => {
            return Err(Closed::Unknown(Cause::DeadlinePassed));
        }
        Err(_) => return Err(Closed::Unknown(Cause::ConnectionLost)),
    };
    if header::is_not_run(response.status(), response.headers()) {
        let faulty = header::faulty_server(response.headers()).unwrap_or(first.address);
        state.avoid(faulty, AVOID, "it rejected a request");
        return Err(Closed::NotRun(Cause::Rejected));
    }
    if response.status().is_success() && !header::is_sealed(response.headers()) {
        state.metrics.count_dropped_answer("unsealed");
        return Err(Closed::Unknown(Cause::ConnectionLost));
    }
    if !header::is_answer_to(&job.demand.attempt, response.headers()) {
        state.metrics.count_dropped_answer("other_attempt");
        return Err(Closed::Unknown(Cause::ConnectionLost));
    }
    Ok(Opened {
        response,
        path,
        outstanding,
    })
}

/// Sends a running request around its lost engines; `None` when that was not possible.
pub async fn repair(state: &Arc<State>, job: &Job, path: &Path) -> Option<Path> {
    let model = job.model.as_ref()?;
    let repaired = choice::around_lost(state, job, model, path);
    let Ok(repaired) = repaired else {
        log::warn!(request:% = job.demand.attempt, missing:? = repaired.err(); "stream: no way around a lost engine");
        return None;
    };
    let result = engine::repath(
        &state.shared,
        &job.demand.attempt,
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
            log::info!(request:% = job.demand.attempt, path:% = header::encode_path(repaired.parts()); "stream: sent around a lost engine");
            Some(repaired)
        }
        Err(error) => {
            log::warn!(request:% = job.demand.attempt, error:%; "stream: not sent around a lost engine");
            if let engine::Failure::Refused {
                address: Some(address),
                ..
            } = error
            {
                state.avoid(address, AVOID, "it refused a part");
            }
            None
        }
    }
}
