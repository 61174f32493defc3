//! Circuit breaker of one backend server.

use core::time::Duration;

/// Thresholds and open times of a breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures that open the breaker.
    pub failures: u32,
    /// Time for which the breaker stays open at first; doubles each time it opens again without a success.
    pub pause: Duration,
    /// Maximum time for which the breaker stays open.
    pub max_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 3,
            pause: Duration::from_secs(1),
            max_pause: Duration::from_secs(30),
        }
    }
}

/// Circuit breaker of one backend server.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Settings,
    /// Failures since the last success.
    failures: u32,
    /// Number of times that the breaker has opened since the last success.
    open_count: u32,
    state: State,
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Requests pass.
    Closed,
    /// No request passes until the given time.
    Open {
        /// When a trial request may pass.
        until: Duration,
    },
    /// One trial request is in flight.
    HalfOpen,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            failures: 0,
            open_count: 0,
            state: State::Closed,
        }
    }

    /// Returns the state, for display.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a request may pass now. It does not reserve the trial; [`Breaker::begin`] does.
    #[must_use]
    pub fn allows(&self, now: Duration) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen => false,
        }
    }

    /// Records that a request passes. When the time of an open breaker is over, it is the trial request.
    pub fn begin(&mut self, now: Duration) {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.state = State::HalfOpen;
        }
    }

    /// Records a success; closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::new(self.settings);
    }

    /// Records a failure; returns whether this opened the breaker.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        let trial_failed = self.state == State::HalfOpen;
        if trial_failed || (self.state == State::Closed && self.failures >= self.settings.failures)
        {
            self.open(now);
            return true;
        }
        false
    }

    /// Opens the breaker, for a latency outlier or a lost connection to a dead server.
    pub fn open(&mut self, now: Duration) {
        let factor = 1_u32 << self.open_count.min(10);
        let pause = self
            .settings
            .pause
            .saturating_mul(factor)
            .min(self.settings.max_pause);
        self.open_count = self.open_count.saturating_add(1);
        self.state = State::Open { until: now + pause };
    }
}
