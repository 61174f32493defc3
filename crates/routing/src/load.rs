//! Estimate of one engine's load.

use core::time::Duration;
use std::collections::VecDeque;

/// Length of the history of own sessions; must exceed the lag of reports.
const HISTORY_WINDOW: Duration = Duration::from_secs(10);

/// Minimum time between samples in the history, which bounds its length.
const HISTORY_RESOLUTION: Duration = Duration::from_millis(50);

/// Open sessions of one engine: the last reported count, and the sessions that this entry has opened and closed.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Session count of the last report.
    reported: u32,
    /// Time at which the engine took that count.
    counted: Duration,
    /// Sessions that this entry has open.
    own: u32,
    /// Samples of `own`. Invariant: times are increasing.
    history: VecDeque<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    own: u32,
}

impl Load {
    /// Records a reported session count; a report older than the last one is ignored.
    pub fn record_report(&mut self, sessions: u32, counted: Duration) {
        if counted >= self.counted {
            self.reported = sessions;
            self.counted = counted;
        }
    }

    /// Records that this entry opened a session.
    pub fn record_open(&mut self, now: Duration) {
        self.own += 1;
        self.record_sample(now);
    }

    /// Records that this entry closed a session.
    pub fn record_close(&mut self, now: Duration) {
        self.own = self.own.saturating_sub(1);
        self.record_sample(now);
    }

    /// Sessions that this entry has open.
    #[must_use]
    pub fn own_sessions(&self) -> u32 {
        self.own
    }

    /// Session count of the last report.
    #[must_use]
    pub fn reported_sessions(&self) -> u32 {
        self.reported
    }

    /// The reported session count, adjusted by the sessions that this entry opened and closed since that count.
    #[must_use]
    pub fn estimated_sessions(&self) -> u32 {
        let then = self.own_at(self.counted);
        let others = self.reported.saturating_sub(then);
        others.saturating_add(self.own)
    }

    fn own_at(&self, time: Duration) -> u32 {
        let before = self.history.iter().rev().find(|sample| sample.at <= time);
        before.map_or(0, |sample| sample.own)
    }

    fn record_sample(&mut self, now: Duration) {
        match self.history.back_mut() {
            Some(last) if now.saturating_sub(last.at) < HISTORY_RESOLUTION => last.own = self.own,
            _ => self.history.push_back(Sample {
                at: now,
                own: self.own,
            }),
        }
        // The newest sample at or before the horizon is kept, because it gives the value at the horizon.
        let horizon = now.saturating_sub(HISTORY_WINDOW);
        while self
            .history
            .get(1)
            .is_some_and(|second| second.at <= horizon)
        {
            self.history.pop_front();
        }
    }
}
