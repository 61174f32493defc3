//! Measurement of the demand at one host.

use core::time::Duration;
use std::collections::HashMap;

use crate::demand::Demand;
use crate::demand::Row;
use crate::demand::Subject;

/// Time constant of the measured rates: a fleet of hundreds of requests a second has enough of them in this time for an error
/// of some percent, and a burst shows within it.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Demand at one host, measured as requests arrive, are sent and end.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    flows: HashMap<Subject, Flow>,
}

/// Requests of one subject.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    offered: Rate,
    sent: Rate,
    ended: Rate,
    /// Tokens of the requests that wait.
    waiting: f64,
    /// Tokens of the requests in progress.
    held: f64,
}

/// An exponentially weighted rate.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    updated: Duration,
}

impl Rate {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.per_s * (-age.div_duration_f64(RATE_WINDOW)).exp()
    }

    fn record(&mut self, tokens: f64, now: Duration) {
        self.per_s = self.at(now) + tokens / RATE_WINDOW.as_secs_f64();
        self.updated = now;
    }
}

impl Meter {
    /// Records a request that arrived.
    pub fn offer(&mut self, subject: Subject, tokens: f64, now: Duration) {
        let flow = self.flows.entry(subject).or_default();
        flow.offered.record(tokens, now);
    }

    /// Records that a request begins to wait.
    pub fn begin_wait(&mut self, subject: Subject, tokens: f64) {
        self.flows.entry(subject).or_default().waiting += tokens;
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, subject: Subject, tokens: f64) {
        let flow = self.flows.entry(subject).or_default();
        flow.waiting = (flow.waiting - tokens).max(0.0);
    }

    /// Records that a request was sent to servers.
    pub fn begin_run(&mut self, subject: Subject, tokens: f64, now: Duration) {
        let flow = self.flows.entry(subject).or_default();
        flow.sent.record(tokens, now);
        flow.held += tokens;
    }

    /// Records that a request is no longer in progress.
    pub fn end_run(&mut self, subject: Subject, tokens: f64, now: Duration) {
        let flow = self.flows.entry(subject).or_default();
        flow.ended.record(tokens, now);
        flow.held = (flow.held - tokens).max(0.0);
    }

    /// The demand now.
    #[must_use]
    pub fn demand(&self, now: Duration) -> Demand {
        // Tokens and rates of one host are not negative and far below `u32::MAX`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = |value: f64| value.round() as u32;
        let mut demand = Demand::default();
        for (subject, flow) in &self.flows {
            let row = Row {
                offered: whole(flow.offered.at(now)),
                sent: whole(flow.sent.at(now)),
                ended: whole(flow.ended.at(now)),
                waiting: whole(flow.waiting),
                held: whole(flow.held),
            };
            demand.set(*subject, row);
        }
        demand
    }
}
