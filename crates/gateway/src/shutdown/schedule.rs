//! Times of a graceful shutdown.

use core::time::Duration;

use crate::state::Stage;

/// Time before the kill at which the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// Time before the exit at which requests that still run are answered.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Time before that at which the last requests are started. A usual call ends within it.
const LAST_CALL_TIME: Duration = Duration::from_millis(150);

/// Share of the grace period at whose end callers have to send streams elsewhere. One that is sent later must not be cut.
const STREAM_GRACE_SHARE: f64 = 3.0 / 8.0;

/// Time for a signal to reach the thread that records it, which on a busy machine waits for other processes. The share above
/// counts from the sending of the signal.
const SIGNAL_MARGIN: Duration = Duration::from_millis(50);

/// Factor on the estimated time of a stream, which leaves out that its engines wait for each other.
const STREAM_TIME_FACTOR: f64 = 1.5;

/// Times of a graceful shutdown, as [`agatemill_runtime::now`] gives them.
///
/// Invariant: `closing <= ending <= answering <= exit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// From when no streams are started.
    pub closing: Duration,
    /// From when no requests are started.
    pub ending: Duration,
    /// When requests that still run are answered.
    pub answering: Duration,
    /// When the process exits at the latest.
    pub exit: Duration,
}

impl Schedule {
    /// The schedule of a process that was signalled to end at `signalled`, and is killed `grace` later.
    #[must_use]
    pub fn new(signalled: Duration, grace: Duration) -> Self {
        let exit = grace.saturating_sub(KILL_MARGIN);
        let answering = exit.saturating_sub(ANSWER_TIME);
        let ending = answering.saturating_sub(LAST_CALL_TIME);
        let closing = grace
            .mul_f64(STREAM_GRACE_SHARE)
            .saturating_sub(SIGNAL_MARGIN);
        Self {
            closing: signalled + closing.min(ending),
            ending: signalled + ending,
            answering: signalled + answering,
            exit: signalled + exit,
        }
    }

    /// Whether a stream that starts at the time `now` is likely to end before the process exits. `estimate` is the time for
    /// which its engines work on it.
    #[must_use]
    pub fn has_time(&self, estimate: Duration, now: Duration) -> bool {
        estimate <= self.exit.saturating_sub(now).div_f64(STREAM_TIME_FACTOR)
    }

    /// The stage that is reached at the time `now`.
    #[must_use]
    pub fn stage(&self, now: Duration) -> Stage {
        if now >= self.ending {
            Stage::Ending
        } else if now >= self.closing {
            Stage::Closing
        } else {
            Stage::Leaving
        }
    }
}
