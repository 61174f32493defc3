//! Forwards unary calls to services without a model.

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;

use crate::State;
use crate::clock;
use crate::exchange::Job;
use crate::reservation::Reservation;
use crate::response;
use crate::response::Body;
use crate::throttle;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Server;
use agatemill_fleet::route;

/// Largest response that is buffered, in bytes. The sum over all calls stays far below the memory of a small
/// host, since a call lasts a fraction of a second.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How long a server is avoided after it refused or broke a connection.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Maximum number of servers that reject a request, stating that they did not run it, before the call fails.
const MAX_REJECTIONS: u32 = 3;

/// `Retry-After` of the refusal when all servers rejected the request.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Share of the target latency that a call may wait for a server that has reached its limit on requests.
const LIMIT_WAIT_SHARE: f64 = 0.5;

/// Interval between attempts to select a server while all have reached their limits.
const LIMIT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Mean `Retry-After` when all servers have reached their limits; jittered so that callers do not return together.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of sending a request to one server.
enum Attempt {
    /// The server responded, and the response is complete.
    Responded(Response<Bytes>),
    /// The request did not run on the server.
    NotRun(Cause),
    /// The request may have run on the server.
    Unknown(Cause),
}

/// Runs a call, with retries, and returns the complete response.
///
/// # Errors
///
/// A refusal whose outcome says whether the call may have run.
pub async fn run(state: &Arc<State>, job: Job) -> Result<Response<Body>, Refusal> {
    let mut tried: Vec<Arc<Server>> = Vec::new();
    let mut runs = 0;
    let mut rejections = 0;
    let mut failure: Option<Response<Bytes>> = None;
    let mut last = Refusal::not_run(Reason::NoServer, "no server of the service is usable");
    loop {
        if let Some(refusal) = check_deadline(&job, runs) {
            return failure.map(caller_response).ok_or(refusal);
        }
        let server = match select_server(state, &job, &tried).await {
            Selection::Server(server) => server,
            Selection::None => break,
            Selection::Limited => {
                log::info!(request:% = job.parameters.attempt, runs; "request: the servers have reached their limits");
                if runs == 0 {
                    last = limit_refusal();
                }
                break;
            }
        };
        if !tried.is_empty() && !state.take_retry(&job.service) {
            let balance = state.retry_balance(&job.service);
            log::info!(
                request:% = job.parameters.attempt, service:% = job.service, hosts = balance.hosts,
                requests = balance.requests, retries = balance.retries, allowed = balance.allowed;
                "request: retry budget used up"
            );
            break;
        }
        let is_last = runs + 1 >= job.route.max_attempts;
        let attempt = send(state, &job, &server, is_last).await;
        let (cause, phase) = match attempt {
            Attempt::Responded(response) => {
                runs += 1;
                let may_repeat = job.route.kind == route::Kind::Idempotent && !is_last;
                if !response.status().is_server_error() || !may_repeat {
                    return Ok(caller_response(response));
                }
                failure = Some(response);
                (Cause::Finished, Phase::Answered)
            }
            Attempt::NotRun(cause) => {
                rejections += 1;
                (
                    cause,
                    if cause == Cause::Rejected {
                        Phase::Sent
                    } else {
                        Phase::Admitted
                    },
                )
            }
            Attempt::Unknown(cause) => {
                runs += 1;
                (cause, Phase::Sent)
            }
        };
        log::info!(
            request:% = job.parameters.attempt, server:% = server.id, cause:%, runs, rejections;
            "request: attempt failed"
        );
        if Outcome::resolve(phase, cause) != Outcome::NotRun {
            last = Refusal::new(
                Reason::BackendFailed,
                phase,
                cause,
                "the server did not answer",
            );
            if job.route.kind != route::Kind::Idempotent || is_last {
                break;
            }
        } else if runs == 0 {
            last = Refusal::new(Reason::Overloaded, phase, cause, "the servers are full")
                .retry_after(RETRY_AFTER);
        }
        state.metrics.count_retry("call");
        tried.push(server);
        if rejections >= MAX_REJECTIONS {
            break;
        }
    }
    failure.map(caller_response).ok_or(last)
}

/// The response to the caller for a complete response of a server.
fn caller_response(response: Response<Bytes>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    head.headers = header::end_to_end(&head.headers);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    head.version = hyper::Version::HTTP_11;
    Response::from_parts(head, response::full(body))
}

/// Returns a refusal if the deadline of the call has passed.
fn check_deadline(job: &Job, runs: u32) -> Option<Refusal> {
    if !job.time_left(agatemill_runtime::now()).is_zero() {
        return None;
    }
    let phase = if runs > 0 {
        Phase::Sent
    } else {
        Phase::Admitted
    };
    Some(deadline_refusal(phase))
}

fn deadline_refusal(phase: Phase) -> Refusal {
    let reason = if phase < Phase::Sent {
        Reason::Overloaded
    } else {
        Reason::DeadlineExceeded
    };
    Refusal::new(
        reason,
        phase,
        Cause::DeadlinePassed,
        "the time of the request is up",
    )
}

fn limit_refusal() -> Refusal {
    let wait = LIMIT_RETRY_AFTER.mul_f64(0.7 + 0.6 * fastrand::f64());
    let detail = "the servers have reached their limits on requests";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(wait)
}

/// Result of the selection of a server.
enum Selection {
    /// The server, for which a credit was taken if it has a limit.
    Server(Arc<Server>),
    /// Only servers that have reached their limits are left.
    Limited,
    /// No server is left.
    None,
}

/// Selects a server, and waits for a while if all have reached their limits.
async fn select_server(state: &State, job: &Job, tried: &[Arc<Server>]) -> Selection {
    throttle::want(state, &job.service);
    let wait = job.route.target_latency.mul_f64(LIMIT_WAIT_SHARE);
    let end = agatemill_runtime::now() + wait.min(job.time_left(agatemill_runtime::now()) / 2);
    loop {
        let untried = untried_servers(state, job, tried);
        if untried.is_empty() {
            return Selection::None;
        }
        if let Some(server) = cheapest_server(state, untried)
            && throttle::take(state, server.key)
        {
            return Selection::Server(server);
        }
        if agatemill_runtime::now() >= end {
            return Selection::Limited;
        }
        state.announce_waiting();
        agatemill_runtime::sleep(LIMIT_RETRY_INTERVAL).await;
    }
}

/// Usable servers that were not tried, in random order.
fn untried_servers(state: &State, job: &Job, tried: &[Arc<Server>]) -> Vec<Arc<Server>> {
    let was_tried = |server: &Server| tried.iter().any(|other| other.is_same_start(server));
    let mut usable = state.usable_servers(&job.service);
    if usable.is_empty() {
        // Suspicions can be wrong: without other servers, a suspected one is tried.
        let ready = agatemill_fleet::server::State::Ready;
        usable = state.view().servers(&job.service).to_vec();
        usable.retain(|server| server.state == ready);
    }
    usable.retain(|server| !was_tried(server));
    fastrand::shuffle(&mut usable);
    usable
}

/// The server with the fewest outstanding calls of this host, of those that have not reached their limits; servers of
/// the host's own zone win ties.
fn cheapest_server(state: &State, servers: Vec<Arc<Server>>) -> Option<Arc<Server>> {
    let zone = state.settings().zone.clone();
    let load = state.load();
    let cost = |server: &Arc<Server>| {
        let away = u32::from(server.zone != zone);
        load.of(&server.id).requests * 2 + away
    };
    let now = clock::boot_time();
    let throttle = state.throttle();
    let servers = servers.into_iter();
    let free = servers.filter(|server| throttle.may_send(server.key, now));
    free.min_by_key(cost)
}

/// Sends a call to one server and reads the complete response.
async fn send(state: &Arc<State>, job: &Job, server: &Arc<Server>, is_last: bool) -> Attempt {
    let reservation = Reservation::on_server(state, &server.id);
    let left = job.time_left(agatemill_runtime::now());
    // Half of the remaining time, which leaves time to retry at another server.
    let limit = if job.route.kind == route::Kind::Idempotent && !is_last {
        left / 2
    } else {
        left
    };
    // Calls that run at most once use a new connection: a reused one may break without showing whether the call
    // arrived.
    let client = match job.route.kind {
        route::Kind::Idempotent => &state.pooled,
        _ => &state.unpooled,
    };
    let sent = clock::boot_time();
    let result = client
        .fetch(request(job, server, left), limit, MAX_RESPONSE_BYTES)
        .await;
    drop(reservation);
    if let Ok(response) = &result {
        throttle::observe(state, &server.id, response.headers(), sent);
    }
    match result {
        Ok(response) if header::is_not_run(response.status(), response.headers()) => {
            if response.status() == StatusCode::MISDIRECTED_REQUEST {
                state.avoid(
                    server.address,
                    AVOID_DURATION,
                    "another server has the address",
                );
            }
            Attempt::NotRun(Cause::Rejected)
        }
        Ok(response) if !header::is_answer_to(&job.parameters.attempt, response.headers()) => {
            state.metrics.count_dropped_answer("other_attempt");
            Attempt::Unknown(Cause::ConnectionLost)
        }
        // A success without the server's seal may come from something else.
        Ok(response)
            if response.status().is_success() && !header::is_sealed(response.headers()) =>
        {
            state.metrics.count_dropped_answer("unsealed");
            Attempt::Unknown(Cause::ConnectionLost)
        }
        Ok(response) => Attempt::Responded(response),
        Err(error) if error.is_not_sent() => {
            state.suspect(server.address, AVOID_DURATION, "no connection");
            Attempt::NotRun(Cause::ConnectFailed)
        }
        Err(agatemill_http::Error::TimedOut) => {
            if !is_last {
                state.avoid(server.address, AVOID_DURATION, "no response");
            }
            Attempt::Unknown(Cause::DeadlinePassed)
        }
        Err(_) => Attempt::Unknown(Cause::ConnectionLost),
    }
}

fn request(job: &Job, server: &Server, deadline: Duration) -> Request<Full<Bytes>> {
    let overrides = header::Overrides {
        deadline,
        server: &server.id,
        organisation: job.organisation.as_ref().map(|holder| holder.name.as_str()),
        priority: job.priority(),
        path: None,
        last_event: None,
    };
    forward(job, server.address, overrides)
}

/// Builds the request to a server from the caller's request.
///
/// # Panics
///
/// Never: the parts come from a valid request.
#[must_use]
pub fn forward(
    job: &Job,
    address: core::net::SocketAddrV4,
    overrides: header::Overrides<'_>,
) -> Request<Full<Bytes>> {
    let target = job
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let uri: Uri = format!("http://{address}{target}")
        .parse()
        .expect("the path of a valid request stays valid");
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = uri;
    *request.headers_mut() = header::forward(&job.headers, job.has_keys, overrides);
    request
}
