//! Load of one engine as an entry estimates it.

use core::time::Duration;
use std::collections::VecDeque;

/// How long the history of own sessions reaches back; longer than reports lag.
const HISTORY: Duration = Duration::from_secs(10);

/// Distance of the points in the history, which bounds its length.
const STEP: Duration = Duration::from_millis(50);

/// Open sessions of one engine: what it reported, and what this entry has changed since then.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Sessions that the engine reported last.
    reported: u32,
    /// When the engine counted them.
    counted: Duration,
    /// Sessions that this entry has open.
    own: u32,
    /// Own sessions at earlier times. Invariant: times rise.
    history: VecDeque<Point>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    at: Duration,
    own: u32,
}

impl Load {
    /// Notes a report; one that is older than the last is ignored.
    pub fn report(&mut self, sessions: u32, counted: Duration) {
        if counted >= self.counted {
            self.reported = sessions;
            self.counted = counted;
        }
    }

    /// Notes that this entry has opened a session.
    pub fn opened(&mut self, now: Duration) {
        self.own += 1;
        self.remember(now);
    }

    /// Notes that this entry has closed a session.
    pub fn closed(&mut self, now: Duration) {
        self.own = self.own.saturating_sub(1);
        self.remember(now);
    }

    /// Sessions that this entry has open.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Sessions that the engine reported last.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// The reported sessions, changed by what this entry has opened and closed since the report.
    #[must_use]
    pub fn estimated(&self) -> u32 {
        let then = self.own_at(self.counted);
        let others = self.reported.saturating_sub(then);
        others.saturating_add(self.own)
    }

    fn own_at(&self, time: Duration) -> u32 {
        let before = self.history.iter().rev().find(|point| point.at <= time);
        before.map_or(0, |point| point.own)
    }

    fn remember(&mut self, now: Duration) {
        match self.history.back_mut() {
            Some(last) if now.saturating_sub(last.at) < STEP => last.own = self.own,
            _ => self.history.push_back(Point {
                at: now,
                own: self.own,
            }),
        }
        // The newest point before the horizon stays, because it holds the value at the horizon.
        let horizon = now.saturating_sub(HISTORY);
        while self
            .history
            .get(1)
            .is_some_and(|second| second.at <= horizon)
        {
            self.history.pop_front();
        }
    }
}
