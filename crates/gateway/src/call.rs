//! Forwards unary calls to services without a model.

mod selection;

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;

use crate::State;
use crate::backoff;
use crate::call::selection::Selection;
use crate::clock;
use crate::departure;
use crate::exchange::Job;
use crate::reply;
use crate::reservation::Reservation;
use crate::response;
use crate::response::Body;
use crate::stall;
use crate::throttle;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Evidence;
use agatemill_fleet::Server;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::reply::Verdict;
use agatemill_fleet::route;
use agatemill_fleet::server::Instance;

/// Largest response that is buffered, in bytes. The sum over all calls stays far below the memory of a small
/// host, since a call lasts a fraction of a second.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// How long a server is avoided after it did not respond in time, or another one had its address.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Maximum number of servers that reject a request, stating that they did not run it, before the call fails.
const MAX_REJECTIONS: u32 = 3;

/// `Retry-After` of the refusal when all servers rejected the request, or none is usable.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Share of the target latency that a call may wait for a server that has reached its limit on requests.
const LIMIT_WAIT_SHARE: f64 = 0.5;

/// Interval between attempts to select a server while all have reached their limits.
const LIMIT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Mean `Retry-After` when all servers have reached their limits; jittered so that callers do not return together.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Share of the remaining time after which an idempotent call is sent to another server as well.
const PATIENCE_SHARE: f64 = 0.5;

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
/// An idempotent call whose server does not respond is sent to another one as well, and the first to respond is used.
///
/// # Errors
///
/// A refusal whose outcome says whether the call may have run.
pub async fn run(state: &Arc<State>, job: Job) -> Result<Response<Body>, Refusal> {
    let is_idempotent = job.route.kind == route::Kind::Idempotent;
    let max_attempts = usize::try_from(job.route.max_attempts).unwrap_or(usize::MAX);
    let mut tried: Vec<Arc<Server>> = Vec::new();
    let mut in_flight = FuturesUnordered::new();
    let mut awaited: Vec<Arc<Server>> = Vec::new();
    let mut runs = 0;
    let mut rejections = 0;
    let mut is_due = true;
    let mut purpose = None;
    let mut may_back_up = is_idempotent;
    let mut failure: Option<Response<Bytes>> = None;
    let mut last = Refusal::not_run(Reason::NoServer, "no server of the service is usable")
        .retry_after(RETRY_AFTER);
    loop {
        if in_flight.is_empty()
            && let Some(refusal) = check_deadline(&job, runs)
        {
            return failure.map(caller_response).ok_or(refusal);
        }
        if core::mem::take(&mut is_due) {
            match next_server(state, &job, &tried, purpose).await {
                Selection::Server(server) => {
                    tried.push(Arc::clone(&server));
                    awaited.push(Arc::clone(&server));
                    in_flight.push(send(state, &job, server));
                }
                Selection::Limited if runs == 0 && in_flight.is_empty() => last = limit_refusal(),
                Selection::Limited | Selection::None => may_back_up = false,
            }
        }
        let has_attempt = runs + in_flight.len() < max_attempts;
        let patience = (may_back_up && has_attempt).then(|| patience(&job));
        let attempt = match patience {
            Some(patience) => agatemill_runtime::timeout(patience, in_flight.next()).await,
            None => Some(in_flight.next().await),
        };
        let (server, attempt) = match attempt {
            Some(Some(result)) => result,
            // No attempt is in flight, and no server is left.
            Some(None) => break,
            None => {
                avoid_silent(state, &awaited);
                (is_due, purpose) = (true, Some(Purpose::Backup));
                continue;
            }
        };
        awaited.retain(|other| !Arc::ptr_eq(other, &server));
        let (cause, phase) = match attempt {
            Attempt::Responded(response) => {
                runs += 1;
                let is_failure = response.status().is_server_error();
                let may_repeat = is_idempotent && (runs < max_attempts || !in_flight.is_empty());
                if !is_failure || !may_repeat {
                    return Ok(caller_response(response));
                }
                failure = Some(response);
                (Cause::Finished, Phase::Answered)
            }
            Attempt::NotRun(Cause::Rejected) => {
                rejections += 1;
                (Cause::Rejected, Phase::Sent)
            }
            Attempt::NotRun(cause) => {
                rejections += 1;
                (cause, Phase::Admitted)
            }
            Attempt::Unknown(cause) => {
                runs += 1;
                (cause, Phase::Sent)
            }
        };
        log::info!(
            request:% = job.parameters.attempt, server:% = server.id, cause:%, runs, rejections,
            in_flight = in_flight.len();
            "request: attempt failed"
        );
        let has_run = Outcome::resolve(phase, cause) != Outcome::NotRun;
        if has_run {
            let detail = "the server did not answer";
            last = Refusal::new(Reason::BackendFailed, phase, cause, detail);
        } else if runs == 0 {
            last = Refusal::new(Reason::Overloaded, phase, cause, "the servers are full")
                .retry_after(RETRY_AFTER);
        }
        if !in_flight.is_empty() {
            continue;
        }
        let may_repeat = !has_run || is_idempotent && runs < max_attempts;
        if !may_repeat || rejections >= MAX_REJECTIONS {
            break;
        }
        state.metrics.count_retry("call");
        (is_due, purpose) = (true, Some(Purpose::Retry));
    }
    failure.map(caller_response).ok_or_else(|| {
        let refusal = backoff::common_refusal(state, &job.service);
        refusal.filter(|_| runs == 0).unwrap_or(last)
    })
}

/// Time after which a call is sent to another server as well.
fn patience(job: &Job) -> Duration {
    job.time_left(agatemill_runtime::now())
        .mul_f64(PATIENCE_SHARE)
}

fn avoid_silent(state: &State, servers: &[Arc<Server>]) {
    for server in servers {
        state.avoid(server.address, AVOID_DURATION, "no response");
    }
}

/// Selects the next server. `purpose` says why the call is sent again, if it is.
async fn next_server(
    state: &State,
    job: &Job,
    tried: &[Arc<Server>],
    purpose: Option<Purpose>,
) -> Selection {
    // Nothing may delay the response of a server that runs the call.
    let wait = match purpose {
        Some(Purpose::Backup) => Duration::ZERO,
        None | Some(Purpose::Retry | Purpose::LessUrgent) => {
            job.route.target_latency.mul_f64(LIMIT_WAIT_SHARE)
        }
    };
    if purpose.is_some_and(|purpose| !state.has_retry(&job.service, purpose)) {
        let balance = state.retry_balance(&job.service);
        log::info!(
            request:% = job.parameters.attempt, service:% = job.service, hosts = balance.hosts,
            requests = balance.requests, retries = balance.retries, allowed = balance.allowed, offset = balance.offset;
            "request: retry budget used up"
        );
        state.metrics.count_event("retry", "denied");
        return Selection::None;
    }
    let selection = select_server(state, job, tried, wait).await;
    match (&selection, purpose) {
        (Selection::Server(_), Some(purpose)) if !state.take_retry(&job.service, purpose) => {
            return Selection::None;
        }
        (Selection::Limited, _) => {
            log::info!(request:% = job.parameters.attempt; "request: the servers have reached their limits");
        }
        _ => {}
    }
    selection
}

/// The response to the caller for a complete response of a server.
fn caller_response(response: Response<Bytes>) -> Response<Body> {
    let (head, body) = response.into_parts();
    Response::from_parts(response::caller_head(head), response::full(body))
}

/// Returns a refusal if the deadline of the call has passed.
fn check_deadline(job: &Job, runs: usize) -> Option<Refusal> {
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

/// Selects a server, and waits for at most `wait` if all have reached their limits.
async fn select_server(
    state: &State,
    job: &Job,
    tried: &[Arc<Server>],
    wait: Duration,
) -> Selection {
    throttle::want(state, &job.service);
    let end = agatemill_runtime::now() + wait.min(job.time_left(agatemill_runtime::now()) / 2);
    let is_untried = |server: &Server| !was_tried(tried, server);
    let is_trusted = |server: &Server| is_untried(server) && !is_avoided(state, server);
    loop {
        let mut untried = untried_servers(state, job, tried);
        if untried.is_empty() {
            // A server that may be used soon is better than one that may be lost.
            if wait_for_backoff(state, job, tried, end, is_trusted).await {
                continue;
            }
            untried = suspected_servers(state, job, tried);
        }
        if untried.is_empty() {
            if wait_for_backoff(state, job, tried, end, is_untried).await {
                continue;
            }
            log_backoff(state, job, is_untried);
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

/// Waits until one of the servers that ask for no requests, and for which `is_wanted` returns true, may be used, if that is
/// before `end`, or until that changes. Returns whether it waited.
async fn wait_for_backoff(
    state: &State,
    job: &Job,
    tried: &[Arc<Server>],
    end: Duration,
    is_wanted: impl Fn(&Server) -> bool,
) -> bool {
    let left = || end.saturating_sub(agatemill_runtime::now());
    let shortest_wait = || backoff::shortest_wait(state, &job.service, &is_wanted);
    let Some(wait) = shortest_wait().filter(|wait| *wait < left()) else {
        return false;
    };
    let has_changed = || {
        !untried_servers(state, job, tried).is_empty()
            || shortest_wait().is_none_or(|wait| wait >= left())
    };
    backoff::sleep(wait, left(), has_changed).await;
    // No credits are asked for while a server wants no requests.
    throttle::want(state, &job.service);
    true
}

fn log_backoff(state: &State, job: &Job, is_wanted: impl Fn(&Server) -> bool) {
    if let Some(wait) = backoff::shortest_wait(state, &job.service, is_wanted) {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        log::info!(request:% = job.parameters.attempt, wait_ms; "request: the servers ask for no requests");
    }
}

fn was_tried(tried: &[Arc<Server>], server: &Server) -> bool {
    tried.iter().any(|other| other.is_same_start(server))
}

fn is_avoided(state: &State, server: &Server) -> bool {
    let now = agatemill_runtime::now();
    state.suspicion().is_avoided(&server.address, now)
}

/// Usable servers that were not tried, in random order.
fn untried_servers(state: &State, job: &Job, tried: &[Arc<Server>]) -> Vec<Arc<Server>> {
    let mut servers = state.usable_servers(&job.service);
    servers.retain(|server| !was_tried(tried, server));
    fastrand::shuffle(&mut servers);
    servers
}

/// Servers that were not tried if all that may be used are avoided, in random order. Suspicions can be wrong.
fn suspected_servers(state: &State, job: &Job, tried: &[Arc<Server>]) -> Vec<Arc<Server>> {
    if !state.usable_servers(&job.service).is_empty() {
        return Vec::new();
    }
    let mut servers = state.view().servers(&job.service).to_vec();
    let departures = state.departures();
    servers.retain(|server| {
        departures.is_staying(server)
            && backoff::left(state, server).is_none()
            && !was_tried(tried, server)
    });
    drop(departures);
    fastrand::shuffle(&mut servers);
    servers
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
async fn send(state: &Arc<State>, job: &Job, server: Arc<Server>) -> (Arc<Server>, Attempt) {
    let attempt = fetch(state, job, &server).await;
    (server, attempt)
}

async fn fetch(state: &Arc<State>, job: &Job, server: &Arc<Server>) -> Attempt {
    let reservation = Reservation::on_server(state, &server.id);
    let left = job.time_left(agatemill_runtime::now());
    let client = state.client(&job.route);
    let sent = clock::boot_time();
    let exchange = async {
        let (sender, request) = (client.clone(), request(job, server, left));
        let sending = async move { sender.send(request, left).await };
        let response = backoff::send(state, Some(server), sending).await?;
        let (head, body) = response.into_parts();
        // The body may take long or never end.
        departure::observe(state, server, head.status, &head.headers);
        backoff::observe(state, server, head.status, &head.headers);
        let body = client.read(body, MAX_RESPONSE_BYTES).await?;
        Ok(Response::from_parts(head, body))
    };
    let result = agatemill_runtime::timeout(left, exchange)
        .await
        .unwrap_or(Err(agatemill_http::Error::TimedOut));
    drop(reservation);
    if let Ok(response) = &result {
        state.record_response(server.address);
        throttle::observe(state, &server.id, response.headers(), sent);
        if has_body(job, response.status())
            && reply::may_be_cut(state, &server.id, header::framing(response.headers()))
            && stall::has_ended_instance(state, &Instance::from(&**server), server.address).await
        {
            log::warn!(request:% = job.parameters.attempt, server:% = server.id; "request: the server ended with its answer");
            return Attempt::Unknown(Cause::ConnectionLost);
        }
    }
    match result {
        Ok(response) => judge(state, job, server, response),
        Err(agatemill_http::Error::Connect(error)) => {
            if let Some(evidence) = Evidence::from_connect_error(error.kind()) {
                state.suspect(server.address, evidence);
            }
            Attempt::NotRun(Cause::ConnectFailed)
        }
        Err(agatemill_http::Error::TimedOut) => Attempt::Unknown(Cause::DeadlinePassed),
        Err(_) => Attempt::Unknown(Cause::ConnectionLost),
    }
}

/// Whether a response to the call with this status has a body.
fn has_body(job: &Job, status: StatusCode) -> bool {
    let is_empty = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    job.method != Method::HEAD && !is_empty
}

/// Decides what a complete response of a server means for the call.
fn judge(state: &State, job: &Job, server: &Server, response: Response<Bytes>) -> Attempt {
    let attempt = &job.parameters.attempt;
    let status = response.status();
    match reply::judge(state, attempt, &server.id, status, response.headers()) {
        Verdict::Answer => Attempt::Responded(response),
        Verdict::NotRun => {
            if status == StatusCode::MISDIRECTED_REQUEST {
                let reason = "another server has the address";
                state.avoid(server.address, AVOID_DURATION, reason);
            }
            Attempt::NotRun(Cause::Rejected)
        }
        Verdict::Unusable(_) => Attempt::Unknown(Cause::ConnectionLost),
    }
}

fn request(job: &Job, server: &Server, deadline: Duration) -> Request<Full<Bytes>> {
    let overrides = header::Overrides {
        deadline,
        server: &server.id,
        organisation: job.organisation.as_ref().map(|holder| holder.name.as_str()),
        urgency: job.urgency(),
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
