//! Handles one request of a caller: authorization, body, dispatch and response.

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request;

use crate::State;
use crate::call;
use crate::counter;
use crate::intake;
use crate::response;
use crate::response::Body;
use crate::state::Stage;
use crate::stream;
use agatemill_adapter::header;
use agatemill_adapter::header::Parameters;
use agatemill_core::Cause;
use agatemill_core::Outcome;
use agatemill_core::Phase;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::Urgency;
use agatemill_core::id;
use agatemill_fleet::Configuration;
use agatemill_fleet::Model;
use agatemill_fleet::Route;
use agatemill_fleet::configuration::Organisation;
use agatemill_fleet::demand::Subject;
use agatemill_fleet::route;
use agatemill_http::intake::cost::head_bytes;
use agatemill_limits::account::Owner;

/// `Retry-After` for callers of a host whose configuration is missing or stale: about the time until a watch of
/// the store responds again.
const VIEW_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Lower limits on the size of a request head are not enforced, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Time for which the rest of the body of a refused request is awaited: some round trips, since the refusal waits too.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for a request that was refused for overload, which must not take much time of the process: the rest is awaited only if
/// it is on the way already.
const OVERLOADED_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of the rest of the body of a request that was refused for overload, in bytes.
const OVERLOADED_BODY_BYTES: usize = 64 << 10;

/// An admitted request with everything that is needed to serve it.
#[derive(Debug)]
pub struct Job {
    /// Parameters from the request headers.
    pub parameters: Parameters,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Complete body. The account counts the head with it.
    pub body: Bytes,
    /// Matched route.
    pub route: Arc<Route>,
    /// Selected service.
    pub service: id::Service,
    /// Model of the service, if it has one.
    pub model: Option<Arc<Model>>,
    /// Organisation of the caller's key.
    pub organisation: Option<Arc<Organisation>>,
    /// Whether the configuration defines API keys.
    pub has_keys: bool,
    /// When the request arrived.
    pub arrived: Duration,
    /// Time by which the response must be complete.
    pub deadline: Duration,
}

impl Job {
    /// Urgency by the ranks of the organisation and the route.
    #[must_use]
    pub fn urgency(&self) -> Urgency {
        let holder = self.organisation.as_ref();
        Urgency::new(holder.and_then(|holder| holder.rank), self.route.rank)
    }

    /// What the demand of the request counts for.
    #[must_use]
    pub fn subject(&self) -> Subject {
        Subject::new(&self.service, self.urgency())
    }

    /// Time until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Handles a request and records its metrics.
pub async fn handle(state: &Arc<State>, request: Request<agatemill_http::Body>) -> Response<Body> {
    let active = state.track_request();
    state.metrics.start_request();
    let arrived = agatemill_runtime::now();
    let (head, mut body) = request.into_parts();
    let mut guard = Guard {
        state,
        attempt: header::attempt(&head.headers).into(),
        arrived,
        is_answered: false,
    };
    let work = async {
        let job = admit(state, head, &mut body, arrived).await?;
        serve(state, job, active).await
    };
    let result = smol::future::or(work, end(state)).await;
    guard.is_answered = true;
    match result {
        Ok(response) => response,
        Err(refusal) => {
            state.metrics.count_refusal(refusal.reason);
            state.metrics.end_request(
                refusal.outcome,
                agatemill_runtime::now().saturating_sub(arrived),
            );
            let mut response = response::from_refusal(&refusal);
            let is_late = refusal.reason == Reason::RequestTimeout;
            let (bytes, time) = if refusal.reason == Reason::Overloaded {
                (OVERLOADED_BODY_BYTES, OVERLOADED_BODY_TIMEOUT)
            } else {
                (state.limits().body_bytes, REFUSED_BODY_TIMEOUT)
            };
            if is_late || !drain(body, bytes, time).await {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

/// Ends a request in the metrics if its caller leaves before it is answered.
struct Guard<'a> {
    state: &'a State,
    attempt: CompactString,
    arrived: Duration,
    is_answered: bool,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let time = agatemill_runtime::now().saturating_sub(self.arrived);
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(request:% = self.attempt, ms; "request: the caller left");
        self.state.metrics.end_request(Outcome::Unknown, time);
    }
}

/// Waits until the process is about to exit, and returns the failure of a request that still runs.
async fn end(state: &State) -> Result<Response<Body>, Refusal> {
    state.answering().await;
    let detail = "the host exits before the request has ended";
    let (phase, cause) = (Phase::Sent, Cause::DeadlinePassed);
    Err(Refusal::new(Reason::DeadlineExceeded, phase, cause, detail))
}

/// Reads and drops the rest of the body of a refused request; returns whether it is complete. Otherwise the connection has
/// to be closed: the next request follows the body, and a caller that is still sending may not read the response.
async fn drain(body: agatemill_http::Body, max_bytes: usize, time: Duration) -> bool {
    let mut body = Limited::new(body, max_bytes);
    let read = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    agatemill_runtime::timeout(time, read)
        .await
        .unwrap_or(false)
}

async fn serve(
    state: &Arc<State>,
    job: Job,
    active: counter::Guard,
) -> Result<Response<Body>, Refusal> {
    state.count_request(&job.service);
    let id = job.parameters.attempt.clone();
    let route = job.route.name.clone();
    let arrived = job.arrived;
    let is_stream = matches!(job.route.kind, route::Kind::Stream { .. });
    let result = if is_stream {
        stream::open(state, job, active).await
    } else {
        call::run(state, job).await
    };
    let time = agatemill_runtime::now().saturating_sub(arrived);
    let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    match &result {
        Ok(response) => {
            let status = response.status().as_u16();
            log::info!(request:% = id, route:%, status, ms; "request: answered");
            if !is_stream {
                state.metrics.end_request(Outcome::Complete, time);
            }
        }
        Err(refusal) => {
            log::warn!(request:% = id, route:%, refusal:%, ms; "request: failed");
        }
    }
    result
}

/// Authorizes a request, reads its body and selects the service.
async fn admit(
    state: &Arc<State>,
    head: request::Parts,
    body: &mut agatemill_http::Body,
    arrived: Duration,
) -> Result<Job, Refusal> {
    if state.stage() == Stage::Ending {
        return Err(
            Refusal::not_run(Reason::Draining, "the host exits").retry_after(Duration::ZERO)
        );
    }
    let parameters = Parameters::from(&head.headers);
    let is_serving = || state.stage() == Stage::Serving;
    let has_waited = state
        .gate
        .pass(arrived, parameters.deadline, is_serving)
        .await;
    let configuration = state.view().configuration.clone();
    let waited = agatemill_runtime::now().saturating_sub(arrived);
    let ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
    if has_waited {
        log::info!(request:% = parameters.attempt, ms, is_ready = state.is_ready(); "request: waited for the first view");
    }
    let configuration = configuration.ok_or_else(|| {
        log::warn!(request:% = parameters.attempt, ms; "request: refused, no configuration yet");
        Refusal::not_run(Reason::NotReady, "no configuration yet").retry_after(VIEW_RETRY_AFTER)
    })?;
    let limits = configuration.limits;
    if head_bytes(&head) > limits.header_bytes.max(MIN_HEAD_BYTES) {
        let detail = "the headers are over the limit";
        return Err(Refusal::not_run(Reason::HeadersTooLarge, detail));
    }
    let authorized = authorize(state, &configuration, &head.headers, &head.uri, &parameters);
    let (route, organisation) = authorized.inspect_err(|refusal| {
        let version = configuration.version;
        log::warn!(request:% = parameters.attempt, version, refusal:%; "request: refused");
    })?;
    let wait = parameters
        .deadline
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let owners = owners(&head, organisation.as_deref());
    let read = state
        .intake
        .read(body, limits.body_bytes, head_bytes(&head), owners);
    let body = agatemill_runtime::timeout(wait, read).await;
    let body = body.ok_or_else(|| {
        let detail = "the body did not arrive in time";
        Refusal::not_run(Reason::RequestTimeout, detail)
    })??;
    let service = route.pick(fastrand::f64()).clone();
    let model = configuration.services.get(&service);
    Ok(Job {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        model: model.and_then(|service| service.model.clone()),
        service,
        organisation,
        has_keys: configuration.keys.is_some(),
        arrived,
        deadline: arrived + wait,
        route,
        parameters,
    })
}

type Grant = (Arc<Route>, Option<Arc<Organisation>>);

/// Finds the route of a request and authorizes its key.
fn authorize(
    state: &State,
    configuration: &Configuration,
    headers: &HeaderMap,
    uri: &Uri,
    parameters: &Parameters,
) -> Result<Grant, Refusal> {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.unwrap_or_default();
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    let is_fresh = state.is_fresh();
    // A stale view may lack the route or the key, or hold a revoked key.
    let outdated = || {
        let detail = "the configuration may have changed";
        Refusal::not_run(Reason::StaleConfiguration, detail).retry_after(VIEW_RETRY_AFTER)
    };
    let refuse = |reason, detail: &str| {
        if is_fresh {
            Refusal::not_run(reason, detail)
        } else {
            outdated()
        }
    };
    let route = configuration.route(host, uri.path());
    let route = route.ok_or_else(|| refuse(Reason::NotFound, "no such route"))?;
    let Some(keys) = configuration.keys.as_ref().filter(|_| !route.is_public) else {
        return Ok((Arc::clone(route), None));
    };
    let organisation = parameters.key.as_ref().and_then(|key| keys.get(key));
    let organisation = organisation.ok_or_else(|| refuse(Reason::Unauthorized, "unknown key"))?;
    if !is_fresh {
        return Err(outdated());
    }
    Ok((Arc::clone(route), Some(Arc::clone(organisation))))
}

/// Whom the body of a request is held for.
fn owners(head: &request::Parts, organisation: Option<&Organisation>) -> Vec<Owner> {
    let peer = head.extensions.get::<intake::Peer>();
    let address = peer.map(|peer| Owner::Address(peer.0));
    let organisation = organisation.map(|holder| Owner::Organisation(holder.name.clone()));
    address.into_iter().chain(organisation).collect()
}
