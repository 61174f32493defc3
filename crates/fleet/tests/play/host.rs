//! One host, which applies the decisions as the gateway does.

use core::time::Duration;
use std::collections::HashMap;

use super::log::Request;
use super::log::Script;
use agatemill_core::Urgency;
use agatemill_fleet::Demand;
use agatemill_fleet::Forecast;
use agatemill_fleet::admission;
use agatemill_fleet::demand;
use agatemill_limits::Line;
use agatemill_limits::line;

/// Target latency of each kind.
pub const TARGETS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(500),
    Duration::from_secs(1),
];

/// Age up to which a total counts, as in the census.
const MAX_AGE: Duration = Duration::from_millis(1_200);

#[derive(Clone, Default)]
pub struct Host {
    pub meter: demand::Meter,
    pub tokens: f64,
    pub reported: f64,
    /// Time, demand and tokens of the last total.
    pub total: Option<(Duration, Demand, f64)>,
    pub line: Line,
    pub waiting: HashMap<line::Ticket, usize>,
    pub returns: admission::Returns,
}

pub fn subject(kind: usize) -> demand::Subject {
    let urgency = Urgency::new(None, u8::try_from(kind).unwrap());
    demand::Subject::new(&"model".parse().unwrap(), urgency)
}

/// What a host does with a request.
pub enum Verdict {
    Admit,
    Wait,
    /// Refused after the longest wait without the policy.
    RefuseBlind,
    /// Refused by the policy: time until room is expected, and the spacing of returns.
    Refuse(Option<Duration>, Duration),
}

impl Host {
    /// The total, if it is recent.
    fn recent(&self, now: Duration) -> Option<&(Duration, Demand, f64)> {
        self.total
            .as_ref()
            .filter(|total| now.saturating_sub(total.0) <= MAX_AGE)
    }

    /// Whether streams wait in a line by urgency. Otherwise they look for room without one, for which the order of arrival stands.
    fn is_ranked(&self, script: Script, now: Duration) -> bool {
        script.policy.is_some() && self.recent(now).is_some()
    }

    pub fn is_behind(&self, kind: usize, script: Script, now: Duration) -> bool {
        self.line.ahead_of(subject(kind).urgency) > 0 && self.is_ranked(script, now)
    }

    pub fn join(&mut self, index: usize, request: &Request, script: Script, now: Duration) {
        let is_ranked = self.is_ranked(script, now);
        let subject = subject(request.kind);
        let last = Urgency::new(None, Urgency::LOWEST_RANK);
        let organisation = format!("o{}", request.organisation).parse().unwrap();
        let ticket = self.line.join(line::Waiter {
            organisation: is_ranked.then_some(organisation),
            weight: 1,
            urgency: if is_ranked { subject.urgency } else { last },
            deadline: now + request.left(now),
        });
        self.waiting.insert(ticket, index);
        self.meter.begin_wait(subject, request.tokens);
    }

    /// Decides as the gateway does.
    pub fn decide(&self, known: &Request, script: Script, memory: f64, now: Duration) -> Verdict {
        let subject = subject(known.kind);
        let waited = now.saturating_sub(known.arrived);
        let hosts = f64::from(u32::try_from(script.hosts).unwrap());
        let Some((policy, (at, demand, tokens))) = script.policy.zip(self.recent(now)) else {
            let guess = self.tokens * (hosts - 1.0);
            let others = |total: &(Duration, Demand, f64)| (total.2 - self.reported).max(0.0);
            let used = self.tokens + self.recent(now).map_or(guess, others);
            return if used + known.tokens <= memory {
                Verdict::Admit
            } else if waited < TARGETS[known.kind] / 2 {
                Verdict::Wait
            } else {
                Verdict::RefuseBlind
            };
        };
        let all = demand.all(subject.service);
        let forecast = Forecast {
            // Half of the round of the host and half of that of its collector, as in the census.
            age: now.saturating_sub(*at) + Duration::from_millis(250),
            sent: f64::from(all.sent),
            ended: f64::from(all.ended),
            held: f64::from(all.held),
        };
        let others = (tokens - self.reported).max(0.0) * forecast.remaining();
        let known_tokens = (self.tokens - self.reported).max(0.0);
        let unseen = (forecast.unseen() - known_tokens).max(0.0);
        let used = (self.tokens + others + unseen).min(memory.max(self.tokens + others));
        let room = admission::Room {
            capacity: memory,
            used: used.min(memory),
        };
        let pressure = admission::Pressure {
            policy,
            demand,
            room,
        };
        if used + known.tokens <= memory * pressure.fill(subject, admission::Claim::New) {
            return Verdict::Admit;
        }
        let case = admission::Case {
            subject,
            tokens: known.tokens,
            waited,
            max_wait: TARGETS[known.kind].mul_f64(policy.wait),
        };
        match pressure.decide(&case) {
            admission::Decision::Wait(_) => Verdict::Wait,
            admission::Decision::Refuse(expected) => {
                let rate = pressure.rate(subject) / hosts;
                let spacing = (known.tokens / rate.max(1.0)).min(1.0);
                Verdict::Refuse(expected, Duration::from_secs_f64(spacing))
            }
        }
    }
}
