//! Whether the configuration in force may still be served.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_wire::Instruction;

/// What the control of this host has said last.
#[derive(Debug, Default)]
pub struct Freshness {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether a control is expected at all.
    followed: bool,
    /// Whether the last answer said that the configuration is stale.
    stale: bool,
    /// When the last answer that said "fresh" was asked for; `None` before the first.
    fresh: Option<Duration>,
    /// Entry hosts that serve callers, by the last answer.
    entries: u32,
}

impl Freshness {
    /// State of an entry that follows a control, or, without one, is always fresh.
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

    /// Notes an answer of the control to a report that was sent at `asked`.
    pub fn record_instruction(&self, instruction: Instruction, asked: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.entries = instruction.entries.max(1);
        state.stale = !instruction.fresh;
        if instruction.fresh {
            state.fresh = Some(asked);
        }
    }

    /// Whether new work may be taken: the last answer was "fresh" and is younger than `limit`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration, limit: Duration) -> bool {
        let state = self.get();
        if !state.followed {
            return true;
        }
        let young = |fresh: Duration| now.saturating_sub(fresh) <= limit;
        !state.stale && state.fresh.is_some_and(young)
    }

    /// Entry hosts among which limits are shared, at least 1.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        self.get().entries.max(1)
    }

    fn get(&self) -> State {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
