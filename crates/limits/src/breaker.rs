//! Circuit breaker of one backend server.

use core::time::Duration;

/// When a breaker opens and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Failures in a row that open the breaker.
    pub failures: u32,
    /// How long the breaker stays open the first time; doubles each time it opens again without a success.
    pub pause: Duration,
    /// Longest time that the breaker stays open.
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
    /// Times that the breaker has opened since the last success.
    opened: u32,
    state: State,
}

/// Whether requests pass a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Requests pass.
    Closed,
    /// No request passes until the time given.
    Open {
        /// When a trial request may pass.
        until: Duration,
    },
    /// One trial request is under way.
    HalfOpen,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            failures: 0,
            opened: 0,
            state: State::Closed,
        }
    }

    /// The state, for display.
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

    /// Notes that a request passes; after a pause it is the trial request.
    pub fn begin(&mut self, now: Duration) {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.state = State::HalfOpen;
        }
    }

    /// Notes a success; closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::new(self.settings);
    }

    /// Notes a failure; returns whether this opened the breaker.
    pub fn failed(&mut self, now: Duration) -> bool {
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
        let factor = 1_u32 << self.opened.min(10);
        let pause = self
            .settings
            .pause
            .saturating_mul(factor)
            .min(self.settings.max_pause);
        self.opened = self.opened.saturating_add(1);
        self.state = State::Open { until: now + pause };
    }
}
