//! Judges the responses of backend servers.

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::State;
use agatemill_adapter::header;
use agatemill_core::id;
use agatemill_fleet::reply::Verdict;

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
