//! What callers and backend servers must not have seen.

use core::time::Duration;
use std::collections::HashMap;

use crate::Sent;
use crate::caller::Answer;
use agatemill_standin::engine::Arrival;
use agatemill_standin::engine::EVENTS;

/// How long a key may still be used after it was taken away, as the settings of the hosts say.
const REVOCATION: Duration = Duration::from_secs(4);

/// Most servers that may run one request, as the configuration says of its routes.
const MAX_ATTEMPTS: usize = 2;

/// Layers of the model.
const LAYERS: &str = "8";

/// When a configuration was acknowledged, and whether it held the second key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When.
    pub at: Duration,
    /// Whether it held the second key.
    pub has_second_key: bool,
}

/// When the links to a server were disturbed, or the server itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// The server's id.
    pub server: String,
    /// From when on.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// What was done during a play.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Configurations, in order.
    pub changes: Vec<Change>,
    /// Disturbances of servers.
    pub disturbances: Vec<Disturbance>,
}

impl Events {
    /// Whether an engine that runs a request counts towards the most engines of its route: those that were
    /// cut off meanwhile do not.
    fn counts(&self, request: &Sent, arrival: &Arrival) -> bool {
        let is_cut = |disturbance: &Disturbance| {
            disturbance.server == arrival.server
                && disturbance.from <= arrival.at
                && disturbance.until >= request.at
        };
        request.route == "pay" || !self.disturbances.iter().any(is_cut)
    }
}

/// The promises that were broken, one line each.
#[must_use]
pub fn broken(sent: &[Sent], arrivals: &[Arrival], events: &Events) -> Vec<String> {
    let by_attempt: HashMap<&str, &Sent> = sent
        .iter()
        .map(|sent| (sent.attempt.as_str(), sent))
        .collect();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    let mut counted: HashMap<&str, usize> = HashMap::new();
    let mut broken = Vec::new();
    for arrival in arrivals {
        let Some(request) = by_attempt.get(arrival.attempt.as_str()) else {
            broken.push(format!("nobody sent what a server got: {arrival:?}"));
            continue;
        };
        if let Some(fault) = wrong_arrival(request, arrival, &events.changes) {
            broken.push(format!("{fault}: {arrival:?} of {request:?}"));
        }
        let attempt = arrival.attempt.as_str();
        let is_counted = arrival.has_run && events.counts(request, arrival);
        *runs.entry(attempt).or_default() += usize::from(arrival.has_run);
        *counted.entry(attempt).or_default() += usize::from(is_counted);
    }
    for request in sent {
        let attempt = request.attempt.as_str();
        let runs = runs.get(attempt).copied().unwrap_or(0);
        let counted = counted.get(attempt).copied().unwrap_or(0);
        let most = if request.route == "pay" {
            1
        } else {
            MAX_ATTEMPTS
        };
        if counted > most {
            broken.push(format!("{counted} runs: {request:?}"));
        }
        if let Some(fault) = request
            .answer
            .as_ref()
            .and_then(|answer| wrong_answer(request, answer, runs))
        {
            broken.push(format!("{fault}: {request:?}"));
        }
    }
    broken
}

fn wrong_arrival(request: &Sent, arrival: &Arrival, changes: &[Change]) -> Option<&'static str> {
    if arrival.body != request.body {
        return Some("the body was changed");
    }
    if arrival.has_key || arrival.organisation.as_deref() != Some("office") {
        return Some("the key was passed on, or the organisation is wrong");
    }
    let is_stream = matches!(request.route, "draft" | "once");
    if is_stream != arrival.path.as_ref().is_some_and(|path| is_whole(path)) {
        return Some("the path does not hold every layer once");
    }
    let is_revoked = request.key == "k2" && !may_hold_second_key(request.at, arrival.at, changes);
    (arrival.has_run && is_revoked).then_some("a key was used too long after it was taken away")
}

/// Whether a path of `ADDRESS=FIRST-END` parts passes each layer once and in order.
fn is_whole(path: &str) -> bool {
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

/// Whether a request sent at `sent` that arrived at `arrived` may have met a configuration with the second key.
fn may_hold_second_key(sent: Duration, arrived: Duration, changes: &[Change]) -> bool {
    let before = changes
        .iter()
        .rev()
        .find(|change| change.at + REVOCATION < sent);
    let since = changes
        .iter()
        .filter(|change| change.at + REVOCATION >= sent && change.at <= arrived);
    before
        .into_iter()
        .chain(since)
        .any(|change| change.has_second_key)
}

fn wrong_answer(request: &Sent, answer: &Answer, runs: usize) -> Option<&'static str> {
    let status = answer.status.as_u16();
    match status {
        200 => wrong_success(request, answer),
        401 | 403 | 404 if request.key == "k1" => Some("a valid request was denied"),
        408 | 421 | 429 | 503 if answer.seal.is_none() && runs > 0 => {
            Some("a request that ran was refused as not run")
        }
        _ => None,
    }
}

fn wrong_success(request: &Sent, answer: &Answer) -> Option<&'static str> {
    let Some(seal) = &answer.seal else {
        return Some("a success without the server's seal");
    };
    let expected = if matches!(request.route, "draft" | "once") {
        let event = |number| format!("id: {number}\ndata: t{number}\n\n");
        (0..EVENTS).map(event).collect()
    } else {
        format!("done by {seal}")
    };
    if answer.is_whole && answer.body != expected {
        return Some("an answer that looks whole is not the server's");
    }
    (!expected.starts_with(&answer.body))
        .then_some("events or bytes are missing, repeated or wrong")
}
