//! Messages between hosts about request limits.

use core::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::tally::Key;
use agatemill_core::quantity::Rate;

/// The limits that a host knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// One row a server.
    pub rows: Vec<Row>,
}

/// What a server named last.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The server.
    pub server: Key,
    /// Its limit; `None` once it answers without one.
    pub rate: Option<Rate>,
    /// Time since then.
    age_ms: u32,
}

/// A host's ask for credits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask, which the answer repeats.
    pub serial: u64,
    /// Servers, and the credits that the host can use.
    pub rows: Vec<(Key, u32)>,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the ask.
    pub serial: u64,
    /// Servers, and the credits for them.
    pub rows: Vec<(Key, u32)>,
}

impl Row {
    /// The row for an answer at `at`.
    #[must_use]
    pub fn new(server: Key, rate: Option<Rate>, at: Duration, now: Duration) -> Self {
        let age = now.saturating_sub(at).as_millis();
        Self {
            server,
            rate,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    /// When the server answered, by the clock of the receiver.
    #[must_use]
    pub fn at(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.age_ms.into()))
    }
}
