//! What an entry knows of one engine.

use core::time::Duration;

use crate::Load;
use crate::Report;
use agatemill_config::document;
use agatemill_core::layer;
use agatemill_limits::Breaker;
use agatemill_limits::breaker;

/// Status queries in a row without an answer after which an engine counts as down.
const MISSED_QUERIES: u32 = 2;

/// Weight of the newest step time in the moving average.
const SMOOTHING: f64 = 0.2;

/// What an entry knows of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// What the document says.
    pub facts: document::Engine,
    /// Layers that the engine says it holds; the document's until it has reported.
    pub layers: Option<layer::Range>,
    /// Its load.
    pub load: Load,
    /// Its breaker.
    pub breaker: Breaker,
    /// Whether the engine says that it takes no new sessions.
    pub draining: bool,
    /// Whether the host list says that its host is leaving.
    pub leaving: bool,
    /// Status queries in a row without an answer.
    missed: u32,
    /// Moving average of the time of a decoding step, in seconds; `None` before the first.
    step_time: Option<f64>,
    /// When it was chosen last.
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

    /// Notes a report.
    pub fn report(&mut self, report: &Report) {
        let serves = report.model == self.facts.model && report.version == self.facts.version;
        self.layers = report.layers.filter(|_| serves);
        self.draining = report.draining;
        self.missed = 0;
        self.load.report(report.sessions, report.counted);
    }

    /// Notes that a status query had no answer.
    pub fn missed(&mut self) {
        self.missed = self.missed.saturating_add(1);
    }

    /// Notes the time of a decoding step that succeeded.
    pub fn succeeded(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        self.step_time = Some(match self.step_time {
            Some(average) => average + SMOOTHING * (seconds - average),
            None => seconds,
        });
        self.breaker.succeeded();
    }

    /// Notes that this entry has closed a session. A trial request that ends without a result, such as one
    /// whose caller left, opens the breaker again: left half-open, it would let no further trial pass.
    pub fn closed(&mut self, now: Duration) {
        self.load.closed(now);
        if self.breaker.state() == breaker::State::HalfOpen {
            self.breaker.open(now);
        }
    }

    /// Moving average of the time of a decoding step.
    #[must_use]
    pub fn step_time(&self) -> Option<Duration> {
        self.step_time.map(Duration::from_secs_f64)
    }

    /// Whether the engine does not answer at all.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.missed >= MISSED_QUERIES
    }

    /// Whether the engine may get new sessions, apart from its breaker.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !(self.draining || self.leaving || self.is_down() || self.layers.is_none())
    }
}
