//! Judges the responses of backend servers.

use core::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::State;
use crate::stream;
use agatemill_adapter::header;
use agatemill_core::Cause;
use agatemill_core::id;
use agatemill_fleet::LogLimit;
use agatemill_fleet::reply::Framing;
use agatemill_fleet::reply::Verdict;
use agatemill_fleet::server;
use agatemill_http::Client;
use agatemill_http::Error;
use agatemill_http::Invalid;
use agatemill_metrics::Registry;

/// Counts what servers, and the store, send in place of responses, and logs one a second.
#[derive(Clone, Debug)]
pub struct Faults {
    metrics: Registry,
    log: Arc<Mutex<LogLimit>>,
}

impl Faults {
    /// Starts to count in `metrics`.
    #[must_use]
    pub fn new(metrics: &Registry) -> Self {
        Self {
            metrics: metrics.clone(),
            log: Arc::default(),
        }
    }

    /// Counts the faults that a client meets.
    #[must_use]
    pub fn watch(&self, client: Client) -> Client {
        let faults = self.clone();
        client.with_observer(move |server, fault| faults.record(server, fault))
    }

    /// Records what the server at an address sent in place of a response.
    pub fn record(&self, server: &str, fault: &Invalid) {
        self.metrics.count_dropped_answer(fault.reason());
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.admits(agatemill_runtime::now()) {
            log::warn!(server, fault:%, reason = fault.reason(); "servers: dropped bytes that are no response");
        }
    }
}

/// Decides what a response of `server` means for the request of this attempt, and logs why it cannot be passed on.
pub fn judge(
    state: &State,
    attempt: &str,
    server: &id::Server,
    status: StatusCode,
    headers: &HeaderMap,
) -> Verdict {
    let verdict = header::reply(attempt, status, headers).verdict();
    if let Verdict::Unusable(flaw) = verdict {
        let status = status.as_u16();
        log::warn!(request = attempt, server:%, status, flaw:%; "request: dropped a response");
        state.metrics.count_dropped_answer(flaw.as_str());
    }
    verdict
}

/// What the failure of a request to the first engine of a path means. An engine that sent what is no response is avoided for
/// a moment; otherwise the next run of the request would go there too.
#[must_use]
pub fn cause(state: &State, engine: SocketAddrV4, error: &Error) -> Cause {
    match error {
        Error::TimedOut => Cause::DeadlinePassed,
        Error::Invalid(_) => {
            state.avoid(
                engine,
                stream::AVOID_DURATION,
                "it sent what is no response",
            );
            Cause::ConnectionLost
        }
        _ => Cause::ConnectionLost,
    }
}

/// Whether a response of `server` that has ended may lack its rest: only the end of its connection marks its end, and the
/// server is not about to exit.
#[must_use]
pub fn may_be_cut(state: &State, server: &id::Server, framing: Framing) -> bool {
    let listed = state.view().server(server).cloned();
    let is_staying = listed.is_some_and(|server| {
        server.state == server::State::Ready && state.departures().is_staying(&server)
    });
    framing.needs_running_server(is_staying)
}
