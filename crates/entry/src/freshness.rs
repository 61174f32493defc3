//! Freshness of the active configuration.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_wire::Instruction;

/// Last instructions of the control of this host.
#[derive(Debug, Default)]
pub struct Freshness {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether the entry follows a control.
    followed: bool,
    /// Whether the last instruction declared the configuration stale.
    stale: bool,
    /// Time of the last report that was answered with "fresh"; `None` before the first.
    confirmed: Option<Duration>,
    /// Number of entry hosts that serve callers, from the last instruction.
    entries: u32,
}

impl Freshness {
    /// Creates the state of an entry. Without a control to follow, the configuration is always fresh.
    #[must_use]
    pub fn new(followed: bool) -> Self {
        let state = State {
            followed,
            entries: 1,
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records the instruction of the control in response to a report that was sent at `sent`.
    pub fn record_instruction(&self, instruction: Instruction, sent: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.entries = instruction.entries.max(1);
        state.stale = !instruction.fresh;
        if instruction.fresh {
            state.confirmed = Some(sent);
        }
    }

    /// Whether new requests may be accepted: the last instruction was "fresh" and is at most `limit` old.
    #[must_use]
    pub fn is_fresh(&self, now: Duration, limit: Duration) -> bool {
        let state = self.get();
        if !state.followed {
            return true;
        }
        let is_recent = |confirmed: Duration| now.saturating_sub(confirmed) <= limit;
        !state.stale && state.confirmed.is_some_and(is_recent)
    }

    /// Number of entry hosts that share the limits; at least 1.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.get().entries.max(1)
    }

    fn get(&self) -> State {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
