//! Admission of streams by urgency while the engines have too little memory for all.
//!
//! The load it answers: more requests than the engines have memory for, during bursts and after the loss of engines. If all are let in,
//! engines preempt streams in progress and nearly all are late. A less urgent request is therefore let in only if it leaves room for
//! the more urgent ones that arrive until the hosts learn of the change, and a request for which no room comes free in time is
//! refused at once, with the time at which it is expected.

pub mod claim;
pub mod policy;
pub mod returns;
pub mod room;

use core::time::Duration;

use crate::demand::Demand;
use crate::demand::Subject;

pub use claim::Claim;
pub use policy::Policy;
pub use returns::Returns;
pub use room::Room;

/// Share of the mean number of arrivals by which there may be more of them within the reserve time: about three standard
/// deviations of a hundred arrivals.
const ARRIVAL_MARGIN: f64 = 0.3;

/// What decisions on requests for one service depend on.
#[derive(Clone, Copy, Debug)]
pub struct Pressure<'a> {
    /// Settings.
    pub policy: Policy,
    /// Demand from all hosts.
    pub demand: &'a Demand,
    /// Memory of the engines.
    pub room: Room,
}

/// A request for which no path has room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Case {
    /// Urgency and service.
    pub subject: Subject,
    /// Tokens that it will hold.
    pub tokens: f64,
    /// Time since its arrival.
    pub waited: Duration,
    /// Longest time that it may wait.
    pub max_wait: Duration,
}

/// What happens to a request for which no path has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It waits for at most this time.
    Wait(Duration),
    /// It is refused; room is expected after this time, if ever.
    Refuse(Option<Duration>),
}

impl Pressure<'_> {
    /// Share of an engine's memory up to which a request may fill it.
    ///
    /// Room stays free for the more urgent requests that wait, and for those that arrive within the policy's reserve time as far as they
    /// need more than what comes free meanwhile, unless the requests of this urgency hold less than their floor. Streams in progress
    /// may use all memory.
    #[must_use]
    pub fn fill(&self, subject: Subject, claim: Claim) -> f64 {
        match claim {
            Claim::InProgress => return 1.0,
            Claim::Retried => return self.policy.fill,
            Claim::New => {}
        }
        let held = f64::from(self.demand.of(subject).held);
        if self.room.capacity <= 0.0 || held < self.policy.floor * self.room.capacity {
            return self.policy.fill;
        }
        let urgent = self.demand.before(subject);
        let offered = f64::from(urgent.offered);
        let ended = f64::from(self.demand.all(subject.service).ended);
        let excess = (offered - ended).max(0.0) + offered * ARRIVAL_MARGIN;
        let reserved = excess * self.policy.reserve.as_secs_f64() + f64::from(urgent.waiting);
        (self.policy.fill - reserved / self.room.capacity).max(0.0)
    }

    /// Tokens a second that come free for requests of this urgency after the more urgent ones were served.
    #[must_use]
    pub fn rate(&self, subject: Subject) -> f64 {
        let ended = f64::from(self.demand.all(subject.service).ended);
        ended - f64::from(self.demand.before(subject).offered)
    }

    /// Time until room for another request of this urgency is expected; `None` if more urgent ones take all that comes free.
    #[must_use]
    pub fn time_to_room(&self, subject: Subject, tokens: f64) -> Option<Duration> {
        // The more urgent ones that wait lower the share that may be filled.
        let ahead = f64::from(self.demand.of(subject).waiting);
        let limit = self.fill(subject, Claim::New) * self.room.capacity;
        let missing = self.room.used + ahead + tokens - limit;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let rate = self.rate(subject);
        (rate > 0.0).then(|| Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX))
    }

    /// Decides whether a request for which no path has room now waits.
    #[must_use]
    pub fn decide(&self, case: &Case) -> Decision {
        let left = case.max_wait.saturating_sub(case.waited);
        let expected = self.time_to_room(case.subject, case.tokens);
        match expected {
            Some(expected) if expected < left => Decision::Wait(left),
            _ => Decision::Refuse(expected),
        }
    }
}
