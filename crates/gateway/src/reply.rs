//! Judges the responses of backend servers.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::State;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::reply::Framing;
use agatemill_fleet::reply::Verdict;
use agatemill_fleet::server;

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
