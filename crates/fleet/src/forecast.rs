//! Load of the engines between two reports.
//!
//! What a host knows of the load is some hundred milliseconds old, and all hosts know the same. Hosts that each choose the cheapest
//! path by it send a whole interval of requests to the same engines, which run out of memory and preempt streams while others
//! idle. Each host therefore brings the reported load up to date in the same way: a part of the reported requests has ended since, and
//! the other hosts have sent new ones at the measured rate, each on the path that was cheapest then.

use core::time::Duration;

use crate::Model;
use crate::Path;
use crate::path::Candidate;
use crate::path::Request;
use agatemill_core::id;

/// Steps in which the requests of an interval are placed. Each is a search for a path; with fewer steps than about the number of
/// paths among which the load spreads, whole steps go to one path.
const MAX_STEPS: u32 = 8;

/// Engines that all steps of a request examine together, at most. One search takes 1.6 ms of a processor at 6,510 engines
/// (docs/CAPACITY.md), and the smallest hosts have 0.12 processors for several requests a second.
const MAX_ENGINES_EXAMINED: usize = 1_000;

/// Requests of a step, at least: the placement of single requests is not worth a search.
const MIN_REQUESTS_PER_STEP: f64 = 4.0;

/// Maximum time for which the load is brought up to date. The error grows with the age of a report, and an older one is
/// likely to lack hosts that are gone.
const MAX_AGE: Duration = Duration::from_millis(1_200);

/// What has changed since a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Age of the report.
    pub age: Duration,
    /// Tokens a second of the requests that hosts send.
    pub sent: f64,
    /// Tokens a second of the requests that end.
    pub ended: f64,
    /// Tokens of the requests in progress.
    pub held: f64,
}

impl Forecast {
    /// Share of the reported requests that are still in progress.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        if self.held <= 0.0 {
            return 1.0;
        }
        let age = self.age.min(MAX_AGE).as_secs_f64();
        (-age * self.ended / self.held).exp()
    }

    /// Tokens of the requests that were sent since the report.
    #[must_use]
    pub fn unseen(&self) -> f64 {
        self.sent * self.age.min(MAX_AGE).as_secs_f64()
    }

    /// Searches in which the requests that were sent since the report are placed; none in a fleet that is too large for them.
    #[must_use]
    pub fn steps(&self, model: &Model, engines: usize) -> u32 {
        let size = (model.usual_prompt + model.usual_answer).max(1.0);
        let wanted = (self.unseen() / size / MIN_REQUESTS_PER_STEP).ceil();
        let affordable = MAX_ENGINES_EXAMINED / engines.max(1);
        let affordable = u32::try_from(affordable).unwrap_or(MAX_STEPS);
        // At least one and at most `MAX_STEPS`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = wanted.clamp(1.0, f64::from(MAX_STEPS)) as u32;
        wanted.min(affordable)
    }

    /// Adds the load of the requests that were sent since the report, apart from `known` tokens that the load includes
    /// already. The requests come from all `zones` evenly. Those for which no path has room are left out, since they wait or
    /// were refused.
    pub fn place(
        &self,
        model: &Model,
        candidates: &mut [Candidate],
        zones: &[&id::Zone],
        request: Request<'_>,
        known: f64,
    ) {
        let size = model.usual_prompt + model.usual_answer;
        let tokens = self.unseen() - known;
        let steps = self.steps(model, candidates.len());
        if zones.is_empty() || size <= 0.0 || tokens < size || steps == 0 {
            return;
        }
        let step_requests = tokens / size / f64::from(steps);
        for (_, zone) in (0..steps).zip(zones.iter().cycle()) {
            let request = Request {
                zone,
                prompt: model.usual_prompt,
                answer: model.usual_answer,
                may_cross: false,
                ..request
            };
            let Ok(path) = Path::choose(model, candidates, request) else {
                return;
            };
            for part in path.parts() {
                let engine = candidates
                    .iter_mut()
                    .find(|known| known.server == part.server);
                if let Some(engine) = engine {
                    engine.usage.tokens += tokens / f64::from(steps);
                    // A step has some tens of requests.
                    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                    let added = step_requests.round() as u32;
                    engine.usage.requests += added;
                }
            }
        }
    }
}
