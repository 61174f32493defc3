//! Invariants on requests to backend servers that leave, or that ask for no requests.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashMap;

use crate::Exchange;
use crate::verdict::Disturbance;
use crate::verdict::Target;
use agatemill_standin::engine::Answer;
use agatemill_standin::engine::Arrival;

/// Time after which requests no longer go to a server whose departure a host has passed on, as in the documentation of
/// the platform.
pub const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Time after which requests no longer go to a server that has asked a host for none.
pub const BACKOFF_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of requests of a host to a server during a time for which the server has asked it for none.
const MAX_BACKOFF_REQUESTS: usize = 2;

/// What callers, backend servers and the injection of faults recorded of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests with their responses.
    pub exchanges: Vec<Exchange>,
    /// Requests that servers received.
    pub arrivals: Vec<Arrival>,
    /// Responses of servers.
    pub answers: Vec<Answer>,
    /// Faults of servers, of the links to them and of hosts.
    pub disturbances: Vec<Disturbance>,
}

/// A response with which an instance of a server told a host that it leaves or asks for no requests.
#[derive(Clone, Copy, Debug)]
pub struct Notice<'a> {
    /// Address of the host for callers.
    pub host: SocketAddrV4,
    /// The response of the server.
    pub answer: &'a Answer,
    /// When a caller received it, if the server leaves; when the server sent it otherwise.
    pub at: Duration,
}

impl Record {
    /// Announcements of departures that hosts have passed on to callers.
    #[must_use]
    pub fn departures(&self) -> Vec<Notice<'_>> {
        let requests = self.requests();
        let notice = |answer| {
            let request = answered(&requests, answer)?;
            let response = request.response.as_ref()?;
            let is_passed_on = answer.is_leaving
                && response.is_leaving
                && response.seal.as_ref() == Some(&answer.server);
            is_passed_on.then_some(Notice {
                host: request.host,
                answer,
                at: response.head_at,
            })
        };
        self.answers.iter().filter_map(notice).collect()
    }

    /// Rejections with which servers have asked hosts for no requests.
    #[must_use]
    pub fn backoffs(&self) -> Vec<Notice<'_>> {
        let requests = self.requests();
        let rejections = self
            .answers
            .iter()
            .filter(|answer| answer.status == 503 && answer.retry_after.is_some());
        let notice = |answer| {
            Some(Notice {
                host: answered(&requests, answer)?.host,
                answer,
                at: answer.at,
            })
        };
        rejections.filter_map(notice).collect()
    }

    /// Violated invariants, one line each.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let requests = self.requests();
        let departures = self.departures();
        let late = |arrival: &Arrival| {
            let request = requests.get(arrival.attempt.as_str())?;
            let notice = departures.iter().find(|notice| {
                is_of(notice, arrival)
                    && request.host == notice.host
                    && request.sent_at > notice.at + DRAIN_DELAY
                    && !self.is_host_disturbed(notice.host, notice.at, arrival.at)
            })?;
            Some(format!(
                "a request reached a server that leaves: {notice:?}, {arrival:?} of {request:?}"
            ))
        };
        let mut violations: Vec<String> = self.arrivals.iter().filter_map(late).collect();
        for notice in self.backoffs() {
            let start = notice.at + BACKOFF_DELAY;
            let end = notice.at + notice.answer.retry_after.unwrap_or_default();
            let is_unwanted = |arrival: &&Arrival| {
                let request = requests.get(arrival.attempt.as_str());
                is_of(&notice, arrival)
                    && (start..end).contains(&arrival.at)
                    && request.is_some_and(|request| request.host == notice.host)
            };
            let unwanted = self.arrivals.iter().filter(is_unwanted);
            let unwanted: Vec<(&str, Duration)> = unwanted
                .map(|arrival| (arrival.attempt.as_str(), arrival.at))
                .collect();
            if unwanted.len() > MAX_BACKOFF_REQUESTS
                && !self.is_host_disturbed(notice.host, notice.at, end)
                && !self.is_link_disturbed(&notice.answer.server, notice.at, end)
            {
                violations.push(format!(
                    "{} requests reached a server that asked for none: {notice:?}, {unwanted:?}",
                    unwanted.len()
                ));
            }
        }
        violations
    }

    /// Requests by attempt.
    fn requests(&self) -> HashMap<&str, &Exchange> {
        self.exchanges
            .iter()
            .map(|request| (request.attempt.as_str(), request))
            .collect()
    }

    /// Whether a host was restarted or frozen at some time from `from` to `until`.
    fn is_host_disturbed(&self, host: SocketAddrV4, from: Duration, until: Duration) -> bool {
        self.disturbances.iter().any(|disturbance| {
            disturbance.target == Target::Host(host) && disturbance.overlaps(from, until)
        })
    }

    /// Whether the links to a server were disturbed at some time from `from` to `until`. The links of a host to the
    /// store do not matter here.
    fn is_link_disturbed(&self, server: &str, from: Duration, until: Duration) -> bool {
        self.disturbances.iter().any(|disturbance| {
            matches!(&disturbance.target, Target::Link(id) if id == server)
                && disturbance.overlaps(from, until)
        })
    }
}

/// The request that a host forwarded and a server answered.
fn answered<'a>(requests: &HashMap<&str, &'a Exchange>, answer: &Answer) -> Option<&'a Exchange> {
    requests.get(answer.attempt.as_str()).copied()
}

/// Whether a request arrived at the instance of a server that a notice is about.
fn is_of(notice: &Notice<'_>, arrival: &Arrival) -> bool {
    notice.answer.server == arrival.server && notice.answer.born_ms == arrival.born_ms
}
