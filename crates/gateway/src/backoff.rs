//! Leaves backend servers alone for as long as they ask for.

use core::time::Duration;
use std::io;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crate::State;
use crate::clock;
use crate::sending::Sending;
use agatemill_adapter::header;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_fleet::Server;
use agatemill_fleet::backoff;

/// Interval at which a request that waits for a server checks whether the wait still holds.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Records how long a server wants no requests, if its response says so.
pub fn observe(state: &State, server: &Server, status: StatusCode, headers: &HeaderMap) {
    let now = clock::boot_time();
    match header::backoff(status, headers) {
        Ok(None) => {}
        Ok(Some(wait)) => {
            state.metrics.count_event("servers", "backoff");
            if state.backoff().record(server, wait, now) {
                let for_ms = u64::try_from(wait.time().as_millis()).unwrap_or(u64::MAX);
                log::info!(server:% = server.id, for_ms; "servers: asks for no requests");
            }
        }
        Err(error) => {
            state.metrics.count_event("servers", "backoff_invalid");
            if state.backoff().reports_invalid(now) {
                log::warn!(server:% = server.id, error:%; "servers: ignored Retry-After");
            }
        }
    }
}

/// Sends a request with `sending`, unless its server asks for no requests: it may have begun to after it was chosen. What
/// the server asks for in its response is recorded also if the result is dropped shortly before the head arrives.
///
/// # Errors
///
/// The errors of `sending`; [`agatemill_http::Error::Connect`] when the request was not sent.
pub async fn send(
    state: &Arc<State>,
    server: Option<&Arc<Server>>,
    sending: impl Future<Output = Result<Response<agatemill_http::Body>, agatemill_http::Error>>
    + Send
    + 'static,
) -> Result<Response<agatemill_http::Body>, agatemill_http::Error> {
    let Some(server) = server else {
        return sending.await;
    };
    if left(state, server).is_some() {
        let busy = io::ErrorKind::ResourceBusy;
        return Err(agatemill_http::Error::Connect(busy.into()));
    }
    Sending::new(state, server, sending).await
}

/// Time until this host may send requests to a server again; `None` if it may do so now.
#[must_use]
pub fn left(state: &State, server: &Server) -> Option<Duration> {
    state.backoff().left(server, clock::boot_time())
}

/// Servers of a service to which requests are sent.
fn receivers(state: &State, service: &id::Service) -> Vec<Arc<Server>> {
    let mut servers = state.view().servers(service).to_vec();
    let departures = state.departures();
    servers.retain(|server| departures.is_staying(server) && server.takes_requests());
    servers
}

/// Time until the first of the servers of a service that ask for no requests, and for which `is_wanted` returns true, may
/// be used again.
pub fn shortest_wait(
    state: &State,
    service: &id::Service,
    is_wanted: impl Fn(&Server) -> bool,
) -> Option<Duration> {
    let mut servers = receivers(state, service);
    servers.retain(|server| is_wanted(server));
    let servers = servers.iter().map(Arc::as_ref);
    state.backoff().shortest_wait(servers, clock::boot_time())
}

/// Time until the first of the servers of a service for which `is_wanted` returns true may be used, if all of them ask for
/// no requests.
pub fn common_wait(
    state: &State,
    service: &id::Service,
    is_wanted: impl Fn(&Server) -> bool,
) -> Option<Duration> {
    let mut servers = receivers(state, service);
    servers.retain(|server| is_wanted(server));
    let servers = servers.iter().map(Arc::as_ref);
    state.backoff().common_wait(servers, clock::boot_time())
}

/// The refusal of a request that did not run, if all servers of its service ask for no requests.
pub fn common_refusal(state: &State, service: &id::Service) -> Option<Refusal> {
    common_wait(state, service, |_| true).map(refusal)
}

/// The refusal of a request that did not run, since the servers that could serve it ask for no requests for at least
/// `wait`.
#[must_use]
pub fn refusal(wait: Duration) -> Refusal {
    let detail = "the servers ask for no requests for a while";
    let refusal = Refusal::not_run(Reason::Overloaded, detail);
    refusal.retry_after(backoff::retry_after(wait, fastrand::f64()))
}

/// Waits until a request that waits for a server may begin, at most for `limit`. Ends before `wait` is over if `has_changed`
/// returns true.
pub async fn sleep(wait: Duration, limit: Duration, has_changed: impl Fn() -> bool) {
    let start = agatemill_runtime::now();
    let delay = backoff::resume_delay(wait, limit, fastrand::f64());
    loop {
        let passed = agatemill_runtime::now().saturating_sub(start);
        if passed >= wait {
            agatemill_runtime::sleep(delay.saturating_sub(passed)).await;
            return;
        }
        if has_changed() {
            return;
        }
        agatemill_runtime::sleep(CHECK_INTERVAL.min(wait.saturating_sub(passed))).await;
    }
}
