//! Invariants on what callers and backend servers observe.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Exchange;
use crate::caller::DEADLINE;
use crate::caller::Response;
use agatemill_standin::engine::Arrival;
use agatemill_standin::engine::EVENTS;

/// Time for which a removed key may remain valid, as in the settings of the hosts.
const REVOCATION_DELAY: Duration = Duration::from_secs(4);

/// Time before the deadline of a caller in which a host may give up a request.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of servers that run one request, as in the configuration of the routes.
const MAX_ATTEMPTS: usize = 2;

/// Number of layers of the model.
const LAYERS: &str = "8";

/// An acknowledged configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Process time of the acknowledgement.
    pub at: Duration,
    /// Whether the configuration has the second key.
    pub has_second_key: bool,
}

/// What a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// The server with this id.
    Server(String),
    /// The links of all hosts to the server with this id.
    Link(String),
    /// The host with this address for callers.
    Host(SocketAddrV4),
}

/// A fault of a server, of the links to it or of a host. The silence of a server is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What the fault affects.
    pub target: Target,
    /// Start of the fault.
    pub from: Duration,
    /// End of the fault.
    pub until: Duration,
}

/// Changes and faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Configuration changes, in order.
    pub changes: Vec<Change>,
    /// Faults of servers, of the links to them and of hosts.
    pub disturbances: Vec<Disturbance>,
}

impl Events {
    /// Whether a run of a request counts towards the maximum of its route. Runs on engines that were disturbed in the
    /// meantime do not count; runs of calls that execute at most once always do.
    fn is_counted(&self, request: &Exchange, arrival: &Arrival) -> bool {
        let is_affected = |disturbance: &Disturbance| {
            disturbance.affects_server(&arrival.server)
                && disturbance.from <= arrival.at
                && disturbance.until >= request.sent_at
        };
        request.route == "pay" || !self.disturbances.iter().any(is_affected)
    }

    /// Whether a fault may have ended a request that `servers` received. A fault of a link may hide a server that the
    /// request was sent to.
    fn may_end(&self, request: &Exchange, servers: &[&str]) -> bool {
        let is_affected = |disturbance: &Disturbance| match &disturbance.target {
            Target::Server(server) => servers.contains(&server.as_str()),
            Target::Link(server) => is_engine(server) == is_stream(request.route),
            Target::Host(host) => *host == request.host,
        };
        self.disturbances.iter().any(|disturbance| {
            disturbance.overlaps(request.sent_at, request.ended_at) && is_affected(disturbance)
        })
    }
}

impl Disturbance {
    /// Whether the fault was there at some time from `from` to `until`.
    #[must_use]
    pub fn overlaps(&self, from: Duration, until: Duration) -> bool {
        self.from <= until && self.until >= from
    }

    fn affects_server(&self, id: &str) -> bool {
        matches!(&self.target, Target::Server(server) | Target::Link(server) if server == id)
    }
}

/// Violated invariants, one line each.
#[must_use]
pub fn violations(exchanges: &[Exchange], arrivals: &[Arrival], events: &Events) -> Vec<String> {
    let by_attempt: HashMap<&str, &Exchange> = exchanges
        .iter()
        .map(|exchange| (exchange.attempt.as_str(), exchange))
        .collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut counted: HashMap<&str, usize> = HashMap::new();
    let mut met: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut violations = Vec::new();
    for arrival in arrivals {
        let Some(request) = by_attempt.get(arrival.attempt.as_str()) else {
            violations.push(format!(
                "a server received a request that no caller sent: {arrival:?}"
            ));
            continue;
        };
        if let Some(violation) = check_arrival(request, arrival, &events.changes) {
            violations.push(format!("{violation}: {arrival:?} of {request:?}"));
        }
        let attempt = arrival.attempt.as_str();
        let is_counted = arrival.has_run && events.is_counted(request, arrival);
        met.entry(attempt).or_default().push(&arrival.server);
        *runs.entry(attempt).or_default() += usize::from(arrival.has_run);
        *counted.entry(attempt).or_default() += usize::from(is_counted);
    }
    for request in exchanges {
        let attempt = request.attempt.as_str();
        let runs = runs.get(attempt).copied().unwrap_or(0);
        let counted = counted.get(attempt).copied().unwrap_or(0);
        let max_runs = if request.route == "pay" {
            1
        } else {
            MAX_ATTEMPTS
        };
        if counted > max_runs {
            violations.push(format!("{counted} runs of one request: {request:?}"));
        }
        if let Some(violation) = request
            .response
            .as_ref()
            .and_then(|response| check_response(request, response, runs))
        {
            violations.push(format!("{violation}: {request:?}"));
        }
        let servers = met.get(attempt).map_or(&[][..], Vec::as_slice);
        if has_failed(request, runs) && !events.may_end(request, servers) {
            violations.push(format!(
                "a request ended early at sound or silent servers {servers:?}: {request:?}"
            ));
        }
    }
    violations
}

/// Whether a request ended before its deadline, without a complete answer or with one that states a failure of a
/// server. A request without an answer and without a run may have met a host that was not listening.
fn has_failed(request: &Exchange, runs: usize) -> bool {
    if request.ended_at + DEADLINE_MARGIN >= request.sent_at + DEADLINE {
        return false;
    }
    match &request.response {
        Some(response) => {
            !response.is_complete || matches!(response.status.as_u16(), 500 | 502 | 504)
        }
        None => runs > 0,
    }
}

/// Whether a route needs an engine with layers.
fn is_stream(route: &str) -> bool {
    matches!(route, "draft" | "once")
}

/// Whether a server id is that of an engine with layers.
fn is_engine(server: &str) -> bool {
    server.starts_with('e')
}

/// Checks a request as a server received it; returns the violated invariant.
fn check_arrival(
    request: &Exchange,
    arrival: &Arrival,
    changes: &[Change],
) -> Option<&'static str> {
    if arrival.body != request.body {
        return Some("the body was changed");
    }
    if arrival.has_key || arrival.organisation.as_deref() != Some("office") {
        return Some("the API key was forwarded, or the organisation is wrong");
    }
    if is_stream(request.route)
        != arrival
            .path
            .as_ref()
            .is_some_and(|path| covers_all_layers(path))
    {
        return Some("the path does not cover every layer exactly once");
    }
    let is_revoked =
        request.key == "k2" && !may_have_second_key(request.sent_at, arrival.at, changes);
    (arrival.has_run && is_revoked).then_some("a key was accepted too long after its removal")
}

/// Whether a path of `ADDRESS=FIRST-END` parts covers each layer once and in order.
fn covers_all_layers(path: &str) -> bool {
    let mut next = "0".to_owned();
    for part in path.split(',') {
        let range = part
            .split_once('=')
            .and_then(|(_, range)| range.split_once('-'));
        match range {
            Some((first, end)) if first == next => end.clone_into(&mut next),
            _ => return false,
        }
    }
    next == LAYERS
}

/// Whether a configuration with the second key may have applied to a request between `sent` and `arrived`.
fn may_have_second_key(sent: Duration, arrived: Duration, changes: &[Change]) -> bool {
    let before = changes
        .iter()
        .rev()
        .find(|change| change.at + REVOCATION_DELAY < sent);
    let since = changes
        .iter()
        .filter(|change| change.at + REVOCATION_DELAY >= sent && change.at <= arrived);
    before
        .into_iter()
        .chain(since)
        .any(|change| change.has_second_key)
}

/// Checks a response; returns the violated invariant.
fn check_response(request: &Exchange, response: &Response, runs: usize) -> Option<&'static str> {
    let status = response.status.as_u16();
    match status {
        200 => check_success(request, response),
        401 | 403 | 404 if request.key == "k1" => Some("a request with a valid key was denied"),
        408 | 421 | 429 | 503 if response.seal.is_none() && runs > 0 => {
            Some("a request that ran was rejected as not run")
        }
        _ => None,
    }
}

fn check_success(request: &Exchange, response: &Response) -> Option<&'static str> {
    let Some(seal) = &response.seal else {
        return Some("a success response without the seal of a server");
    };
    let expected = if is_stream(request.route) {
        let event = |number| format!("id: {number}\ndata: t{number}\n\n");
        (0..EVENTS).map(event).collect()
    } else {
        format!("done by {seal}")
    };
    if response.is_complete && response.body != expected {
        return Some("a complete response differs from that of the server");
    }
    (!expected.starts_with(&response.body))
        .then_some("events or bytes are missing, duplicated or wrong")
}
