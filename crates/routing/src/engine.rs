//! State of one engine, as seen by one entry.

use core::time::Duration;

use crate::Load;
use crate::Report;
use agatemill_config::document;
use agatemill_core::layer;
use agatemill_limits::Breaker;
use agatemill_limits::breaker;

/// Consecutive unanswered status queries after which an engine counts as down.
const MISSED_QUERIES_UNTIL_DOWN: u32 = 2;

/// Weight of the newest step time in the exponential moving average.
const STEP_TIME_WEIGHT: f64 = 0.2;

/// State of one engine, as seen by one entry.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The engine's entry in the document.
    pub facts: document::Engine,
    /// Layers that the engine last reported as loaded; those of the document until its first report. `None` while
    /// it loads, or when it reports another model or version than the document.
    pub layers: Option<layer::Range>,
    /// Estimated load of the engine.
    pub load: Load,
    /// Circuit breaker of the engine.
    pub breaker: Breaker,
    /// Whether the engine reported that it accepts no new sessions.
    pub draining: bool,
    /// Whether the host list marks the engine's host as leaving.
    pub leaving: bool,
    /// Consecutive unanswered status queries.
    missed: u32,
    /// Exponential moving average of the decoding step time, in seconds; `None` before the first step.
    step_time: Option<f64>,
    /// Time of the last choice of this engine for a chain.
    pub chosen: Duration,
}

impl Engine {
    /// Creates the state of an engine that has not reported yet.
    #[must_use]
    pub fn new(facts: document::Engine) -> Self {
        Self {
            layers: Some(facts.layers),
            facts,
            load: Load::default(),
            breaker: Breaker::new(breaker::Settings::default()),
            draining: false,
            leaving: false,
            missed: 0,
            step_time: None,
            chosen: Duration::ZERO,
        }
    }

    /// Applies a status report and resets the count of unanswered queries.
    pub fn record_report(&mut self, report: &Report) {
        let serves = report.model == self.facts.model && report.version == self.facts.version;
        self.layers = report.layers.filter(|_| serves);
        self.draining = report.draining;
        self.missed = 0;
        self.load.record_report(report.sessions, report.counted);
    }

    /// Counts a status query without a response.
    pub fn record_missed_query(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }

    /// Records the duration of a successful decoding step.
    pub fn record_success(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        self.step_time = Some(match self.step_time {
            Some(average) => average + STEP_TIME_WEIGHT * (seconds - average),
            None => seconds,
        });
        self.breaker.record_success();
    }

    /// Records that this entry closed a session.
    ///
    /// If the session was a trial request that ended without a result, for example because the caller
    /// disconnected, the breaker opens again: a half-open breaker would admit no further trial.
    pub fn record_close(&mut self, now: Duration) {
        self.load.record_close(now);
        if self.breaker.state() == breaker::State::HalfOpen {
            self.breaker.open(now);
        }
    }

    /// Exponential moving average of the decoding step time.
    #[must_use]
    pub fn step_time(&self) -> Option<Duration> {
        self.step_time.map(Duration::from_secs_f64)
    }

    /// Whether the engine has stopped responding to status queries.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.missed >= MISSED_QUERIES_UNTIL_DOWN
    }

    /// Whether the engine may get new sessions, regardless of its breaker.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !(self.draining || self.leaving || self.is_down() || self.layers.is_none())
    }
}
