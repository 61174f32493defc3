//! Determines which engine a stalled stream waits for.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use smol::net::TcpStream;

use crate::State;
use crate::backoff;
use crate::departure;
use crate::stream;
use crate::supervise;
use agatemill_adapter::engine;
use agatemill_adapter::engine::Report;
use agatemill_core::id;
use agatemill_fleet::Evidence;
use agatemill_fleet::Path;
use agatemill_fleet::Server;
use agatemill_fleet::server::Instance;
use agatemill_fleet::suspicion::Life;
use agatemill_fleet::suspicion::Standing;

/// Maximum age of a cached report: streams that stall together share one call, since calls are priced.
const MAX_REPORT_AGE: Duration = Duration::from_millis(80);

/// Timeout of a report query; an engine that takes longer is silent.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout for a connection that shows whether a server has ended; one that has refuses it within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks whether a server that refuses connections has closed the others.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between queries of engines that are silent, which show that they respond again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Cached report or failure.
type Cached = Arc<smol::lock::Mutex<Option<Query>>>;

/// A query that has ended.
#[derive(Debug)]
struct Query {
    began_at: Duration,
    ended_at: Duration,
    result: Result<Arc<Report>, engine::Failure>,
}

/// How recent a report has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recency {
    /// [`MAX_REPORT_AGE`] is enough.
    Cached,
    /// The query begins after it is asked for.
    New,
}

/// Cache of engine reports, shared by all requests that wait for the same engine.
#[derive(Debug, Default)]
pub struct Reports {
    engines: Mutex<HashMap<SocketAddrV4, Cached>>,
}

impl Reports {
    async fn get(
        &self,
        http: &agatemill_http::Client,
        address: SocketAddrV4,
        recency: Recency,
    ) -> Result<Arc<Report>, engine::Failure> {
        let slot = {
            let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
            Arc::clone(engines.entry(address).or_default())
        };
        let asked_at = agatemill_runtime::now();
        let mut slot = slot.lock().await;
        if let Some(query) = &*slot {
            let is_recent = match recency {
                Recency::Cached => asked_at < query.ended_at + MAX_REPORT_AGE,
                Recency::New => asked_at <= query.began_at,
            };
            if is_recent {
                return query.result.clone();
            }
        }
        let began_at = agatemill_runtime::now();
        let result = engine::report(http, address, REPORT_TIMEOUT)
            .await
            .map(Arc::new);
        *slot = Some(Query {
            began_at,
            ended_at: agatemill_runtime::now(),
            result: result.clone(),
        });
        result
    }
}

/// Queries the first engine of a run that stalled for the engines that it waits for. The run was sent to `instance`.
pub async fn investigate(
    state: &State,
    path: &Path,
    instance: &Instance,
    attempt: &str,
) -> Standing {
    let first = path.first();
    if state.view().is_replaced(instance, first.address) {
        return Standing::Ended;
    }
    let standing = || {
        let now = agatemill_runtime::now();
        state.suspicion().standing(path, now)
    };
    let known = standing();
    if known == Standing::FirstSilent {
        return known;
    }
    match query(state, first.address, Recency::Cached).await {
        Ok(report) => {
            for stalled in &report.stalled {
                state.suspect(stalled.address, Evidence::Awaited);
            }
        }
        Err(error) => {
            log::warn!(
                request = attempt, server:% = first.server, error:%;
                "stream: no report from the first engine"
            );
        }
    }
    standing()
}

/// Queries the state of an engine and records what the result says about it.
async fn query(
    state: &State,
    address: SocketAddrV4,
    recency: Recency,
) -> Result<Arc<Report>, engine::Failure> {
    let result = state.reports.get(&state.pooled, address, recency).await;
    match &result {
        Err(error) if !error.is_response() => {
            if let Some(evidence) = error.evidence() {
                state.suspect(address, evidence);
            }
        }
        Ok(report) => {
            departure::observe_report(state, address, report);
            state.record_response(address);
        }
        Err(_) => state.record_response(address),
    }
    result
}

/// Finds out by a connection whether a server has ended, and records the result. A server that is cut off or silent does
/// not refuse connections, and one that is full keeps those that it has.
pub async fn has_ended(state: &State, address: SocketAddrV4) -> bool {
    let Err(kind) = connect(address).await else {
        return false;
    };
    let Some(evidence) = Evidence::from_connect_error(kind) else {
        return false;
    };
    state.suspect(address, evidence);
    evidence == Evidence::Refused && has_closed_connections(state, address).await
}

/// Finds out whether the instance of a server at `address` has ended, and records the result. Another one that was started there
/// since accepts connections as well, but reports another start.
pub async fn has_ended_instance(state: &State, instance: &Instance, address: SocketAddrV4) -> bool {
    if state.view().is_replaced(instance, address) {
        return true;
    }
    let Some(born_ms) = reported_start(state, &instance.server, address).await else {
        return has_ended(state, address).await;
    };
    let is_other = instance.born_ms != 0 && born_ms != instance.born_ms;
    if is_other {
        // Until it is listed again, it is not known what it holds.
        state.avoid(address, stream::AVOID_DURATION, "it was started again");
    }
    is_other
}

/// Start of the instance that a server runs now, in milliseconds since the Unix epoch; `None` if it does not tell, or has asked
/// this host for no requests.
async fn reported_start(state: &State, server: &id::Server, address: SocketAddrV4) -> Option<u64> {
    let listed = state.view().server(server).cloned();
    let is_backing_off = |server: Arc<Server>| backoff::left(state, &server).is_some();
    if listed.is_some_and(is_backing_off) {
        return None;
    }
    let report = query(state, address, Recency::New).await.ok()?;
    report.born_ms
}

/// Waits until it is clear whether a server that has refused a connection has closed all others.
async fn has_closed_connections(state: &State, address: SocketAddrV4) -> bool {
    let refused_at = agatemill_runtime::now();
    loop {
        let waited = agatemill_runtime::now().saturating_sub(refused_at);
        let life = state.suspicion().life(&address, waited);
        match life {
            Life::Ended => return true,
            Life::Unclear => agatemill_runtime::sleep(CLOSE_CHECK_INTERVAL).await,
            Life::Full => {
                log::info!(server:% = address; "servers: refuses connections and keeps those that it has");
                state.metrics.count_event("servers", "full");
                return false;
            }
        }
    }
}

async fn connect(address: SocketAddrV4) -> Result<(), io::ErrorKind> {
    match agatemill_runtime::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Some(Ok(_)) => Ok(()),
        Some(Err(error)) => Err(error.kind()),
        None => Err(io::ErrorKind::TimedOut),
    }
}

/// Queries servers that were silent or refused connections, until the process ends, so that they are used again as soon as
/// they respond.
pub async fn recheck(state: Arc<State>) {
    loop {
        agatemill_runtime::sleep(RECHECK_INTERVAL).await;
        let now = agatemill_runtime::now();
        let suspects: Vec<Arc<Server>> = {
            let view = state.view();
            let suspicion = state.suspicion();
            let servers = view.services.values().flatten();
            let suspects = servers.filter(|server| {
                suspicion.is_unreachable(&server.address, now)
                    && backoff::left(&state, server).is_none()
            });
            suspects.cloned().collect()
        };
        let checks = suspects
            .into_iter()
            .map(async |server| probe(&state, &server).await);
        futures::future::join_all(checks).await;
    }
}

/// Queries a server and records whether it responds.
async fn probe(state: &State, server: &Server) {
    if server.accelerator.is_none() {
        // Such a server is suspected only because of failed connections.
        if connect(server.address).await.is_ok() {
            state.record_response(server.address);
        }
    } else if let Err(error) = query(state, server.address, Recency::Cached).await {
        log::debug!(server:% = server.id, error:%; "servers: no report");
    }
}

/// Queries the engines at `addresses`, which other servers or hosts name as lost, so that requests avoid those that do not
/// respond. One that asked this host for no requests is not queried. A caller loses no attempt to another server that has ended, since its port refuses the connection.
pub fn check(state: &Arc<State>, addresses: &[SocketAddrV4]) {
    let now = agatemill_runtime::now();
    let addresses = addresses.iter();
    let due: Vec<SocketAddrV4> = addresses
        .copied()
        .filter(|address| state.suspicion().begin_check(*address, now))
        .collect();
    if due.is_empty() {
        return;
    }
    let engines: Vec<Arc<Server>> = {
        let view = state.view();
        let servers = view.services.values().flatten();
        let engines = servers.filter(|server| {
            server.accelerator.is_some()
                && due.contains(&server.address)
                && backoff::left(state, server).is_none()
        });
        engines.cloned().collect()
    };
    for engine in engines {
        let state = Arc::clone(state);
        let task = async move {
            supervise::contain(&state.metrics, "stall", probe(&state, &engine)).await;
        };
        agatemill_runtime::spawn(task).detach();
    }
}
