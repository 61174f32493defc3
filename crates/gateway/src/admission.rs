//! Applies the admission by urgency to streams.

use core::time::Duration;

use crate::State;
use crate::choice::Size;
use crate::exchange::Job;
use crate::stream::Obstacle;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_fleet::Demand;
use agatemill_fleet::Forecast;
use agatemill_fleet::admission::Case;
use agatemill_fleet::admission::Claim;
use agatemill_fleet::admission::Decision;
use agatemill_fleet::admission::Policy;
use agatemill_fleet::admission::Pressure;
use agatemill_fleet::admission::Room;
use agatemill_fleet::demand::Row;
use agatemill_fleet::tally::Key;

/// Share of the remaining time up to which callers honour `Retry-After`.
const MAX_RETURN_SHARE: f64 = 1.0 / 3.0;

/// Longest time between two promised returns of one host; a rate that is close to none would spread them endlessly.
const MAX_SPACING: Duration = Duration::from_secs(1);

/// Share of a spacing or wait that is added at random, so that hosts do not promise the same times.
const RETURN_JITTER: f64 = 0.25;

/// What hosts know about the demand for the service of a request.
#[derive(Clone, Debug)]
pub struct News {
    /// Settings.
    pub policy: Policy,
    /// Demand from all hosts.
    pub demand: Demand,
    /// Load between reports.
    pub forecast: Forecast,
}

/// What a decision on a request depended on.
#[derive(Clone, Debug)]
pub struct Assessment {
    news: News,
    room: Room,
}

/// What is known about the demand for the service of a request; `None` if all its requests are equally urgent, or without a recent
/// total from the collector. Requests are then admitted as far as any path has room.
#[must_use]
pub fn news(state: &State, job: &Job) -> Option<News> {
    let settings = state.settings();
    if settings.admission.disabled {
        return None;
    }
    let is_ranked = {
        let view = state.view();
        let configuration = view.configuration.as_ref();
        configuration.is_some_and(|known| known.has_urgencies(&job.service))
    };
    if !is_ranked {
        return None;
    }
    let now = agatemill_runtime::now();
    let (demand, age) = {
        let census = state.census();
        let (demand, age) = census.demand(now)?;
        (demand.clone(), age)
    };
    let all = demand.all(Key::from(&job.service));
    let forecast = Forecast {
        age,
        sent: f64::from(all.sent),
        ended: f64::from(all.ended),
        held: f64::from(all.held),
    };
    Some(News {
        policy: settings.admission.policy(),
        demand,
        forecast,
    })
}

impl Assessment {
    /// Combines what is known about the demand with the memory of the engines.
    #[must_use]
    pub fn new(news: News, room: Room) -> Self {
        Self { news, room }
    }

    fn pressure(&self) -> Pressure<'_> {
        Pressure {
            policy: self.news.policy,
            demand: &self.news.demand,
            room: self.room,
        }
    }

    /// Share of an engine's memory up to which the request may fill it.
    #[must_use]
    pub fn fill(&self, job: &Job, claim: Claim) -> f64 {
        self.pressure().fill(job.subject(), claim)
    }

    /// Decides what happens to a request for which no path has room.
    #[must_use]
    pub fn decide(&self, job: &Job, size: Size) -> Decision {
        let case = Case {
            subject: job.subject(),
            tokens: size.prompt + size.answer,
            waited: agatemill_runtime::now().saturating_sub(job.arrived),
            max_wait: job.route.target_latency.mul_f64(self.news.policy.wait),
        };
        self.pressure().decide(&case)
    }

    /// Time until room is expected; `None` if more urgent requests take all that comes free.
    #[must_use]
    pub fn time_to_room(&self, job: &Job, size: Size) -> Option<Duration> {
        let tokens = size.prompt + size.answer;
        self.pressure().time_to_room(job.subject(), tokens)
    }

    /// Time after which the caller of a refused request may return.
    #[must_use]
    pub fn promise(&self, state: &State, job: &Job, size: Size) -> Duration {
        let now = agatemill_runtime::now();
        let pressure = self.pressure();
        let hosts = u32::try_from(state.host_count()).unwrap_or(u32::MAX);
        let rate = pressure.rate(job.subject()) / f64::from(hosts);
        let spacing = (size.prompt + size.answer) / rate.max(1.0);
        let spacing = Duration::try_from_secs_f64(spacing).unwrap_or(MAX_SPACING);
        let jitter = 1.0 + RETURN_JITTER * fastrand::f64();
        let expected = self
            .time_to_room(job, size)
            .map(|time| time.mul_f64(jitter));
        let latest = job.time_left(now).mul_f64(MAX_RETURN_SHARE);
        state.returns().promise(
            job.urgency(),
            expected,
            spacing.min(MAX_SPACING).mul_f64(jitter),
            latest,
            now,
        )
    }

    /// Logs what a decision depended on.
    pub fn log(&self, job: &Job, size: Size, decision: &'static str, wait: Duration) {
        let subject = job.subject();
        let before: Row = self.news.demand.before(subject);
        let own = self.news.demand.of(subject);
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            request:% = job.parameters.attempt, decision, urgency:% = subject.urgency, wait_ms = ms(wait),
            tokens = size.prompt + size.answer, used = self.room.used, capacity = self.room.capacity,
            fill = self.fill(job, Claim::New), urgent = before.offered, waiting = before.waiting + own.waiting,
            held = own.held, ended = self.news.forecast.ended, sent = self.news.forecast.sent, age_ms = ms(self.news.forecast.age);
            "admission: no room"
        );
    }
}

/// Whether there is demand for the service of a request that is more urgent.
#[must_use]
pub fn is_less_urgent(state: &State, job: &Job) -> bool {
    news(state, job).is_some_and(|news| news.demand.before(job.subject()).offered > 0)
}

/// Decides how long a request for which no path has room waits, and counts and logs that if it `is_first` or the last decision.
///
/// # Errors
///
/// [`Obstacle::Full`] if it is refused.
pub fn decide(
    state: &State,
    job: &Job,
    size: Size,
    assessment: &Assessment,
    is_first: bool,
) -> Result<Duration, Obstacle> {
    let urgency = job.urgency();
    match assessment.decide(job, size) {
        Decision::Wait(limit) => {
            if is_first {
                assessment.log(job, size, "wait", limit);
                state.metrics.count_admission(urgency, "waits");
            }
            Ok(limit)
        }
        Decision::Refuse(_) => {
            let wait = assessment.promise(state, job, size);
            assessment.log(job, size, "refuse", wait);
            state.metrics.count_admission(urgency, "refused");
            Err(Obstacle::Full(wait))
        }
    }
}

/// Time after which the caller of a request that engines rejected may return: `expected`, or later if others were promised that
/// time and requests for the service differ in urgency.
#[must_use]
pub fn promise_after(state: &State, job: &Job, expected: Duration) -> Duration {
    if news(state, job).is_none() {
        return expected;
    }
    let now = agatemill_runtime::now();
    let latest = job.time_left(now).mul_f64(MAX_RETURN_SHARE);
    let spacing = Duration::ZERO;
    let urgency = job.urgency();
    let mut returns = state.returns();
    returns.promise(urgency, Some(expected), spacing, latest, now)
}

/// The refusal of a request for which there is no room.
#[must_use]
pub fn refusal(retry_after: Duration) -> Refusal {
    let detail = "the engines have no room for requests of this urgency";
    Refusal::not_run(Reason::Overloaded, detail).retry_after(retry_after)
}
