//! Load-balancing policies for the choice of a chain.

use core::fmt;
use std::sync::Arc;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;

use crate::Engine;

/// Cost function for one more session on an engine; the second argument is a random number in `0.0..1.0`.
pub type Cost = Arc<dyn Fn(&Engine, f64) -> f64 + Send + Sync>;

/// A load-balancing policy: the chain with the lowest total cost is chosen.
#[derive(Clone)]
pub struct Policy {
    /// Name used in logs and measurements.
    pub name: &'static str,
    /// Cost of one more session on an engine, in seconds per token if the policy knows it.
    pub cost: Cost,
    /// Number of engines to consider per layer range, sampled at random; all if `None`.
    pub sample: Option<usize>,
    /// Whether the link's round-trip time is added to the cost.
    pub links: bool,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Name of a policy, as used in the settings of an entry.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Deserialize)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// [`random()`].
    Random,
    /// [`round_robin()`].
    RoundRobin,
    /// [`least_reported()`].
    LeastReported,
    /// [`two_choices()`].
    TwoChoices,
    /// [`estimated()`].
    Estimated,
    /// [`measured()`].
    Measured,
    /// [`outstanding()`].
    Outstanding,
}

impl Name {
    /// All policies, in the order in which measurements list them.
    pub const ALL: [Self; 7] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::Estimated,
        Self::Measured,
        Self::Outstanding,
    ];

    /// The policy of this name.
    #[must_use]
    pub fn policy(self) -> Policy {
        match self {
            Self::Random => random(),
            Self::RoundRobin => round_robin(),
            Self::LeastReported => least_reported(),
            Self::TwoChoices => two_choices(),
            Self::Estimated => estimated(),
            Self::Measured => measured(),
            Self::Outstanding => outstanding(),
        }
    }
}

/// Chooses engines at random.
#[must_use]
pub fn random() -> Policy {
    let cost = |_: &Engine, random: f64| random;
    Policy {
        name: "random",
        cost: Arc::new(cost),
        sample: None,
        links: false,
    }
}

/// Chooses the engine that was chosen least recently.
#[must_use]
pub fn round_robin() -> Policy {
    let cost = |engine: &Engine, random: f64| engine.chosen.as_secs_f64() + random * 1e-9;
    Policy {
        name: "round-robin",
        cost: Arc::new(cost),
        sample: None,
        links: false,
    }
}

/// Chooses the engine with the least load in its last report.
#[must_use]
pub fn least_reported() -> Policy {
    let cost = |engine: &Engine, random: f64| {
        token_time(engine, engine.load.reported_sessions()) + random * 1e-9
    };
    Policy {
        name: "least-reported",
        cost: Arc::new(cost),
        sample: None,
        links: false,
    }
}

/// Chooses the less loaded of two random engines, by their last reports (power of two choices).
#[must_use]
pub fn two_choices() -> Policy {
    Policy {
        name: "two-choices",
        sample: Some(2),
        ..least_reported()
    }
}

/// Chooses by estimated load, which is the last report adjusted by this entry's sessions since then, and by the
/// link's round-trip time.
#[must_use]
pub fn estimated() -> Policy {
    let cost = |engine: &Engine, random: f64| {
        token_time(engine, engine.load.estimated_sessions()) + random * 1e-9
    };
    Policy {
        name: "estimated",
        cost: Arc::new(cost),
        sample: None,
        links: true,
    }
}

/// Like [`estimated()`], but uses the measured step time if it is slower than the throughput in the document
/// implies.
#[must_use]
pub fn measured() -> Policy {
    let cost = |engine: &Engine, random: f64| {
        let sessions = engine.load.estimated_sessions();
        let stated = token_time(engine, sessions);
        let measured = engine.step_time().map_or(0.0, |time| time.as_secs_f64());
        stated.max(measured) + random * 1e-9
    };
    Policy {
        name: "measured",
        cost: Arc::new(cost),
        sample: None,
        links: true,
    }
}

/// Chooses the engine with the fewest sessions of this entry relative to its throughput.
///
/// The policy ignores reports, so their age does not matter. If each entry distributes its own sessions in
/// proportion to throughput, the total is distributed in proportion, too.
#[must_use]
pub fn outstanding() -> Policy {
    let cost = |engine: &Engine, random: f64| {
        token_time(engine, engine.load.own_sessions()) + random * 1e-9
    };
    Policy {
        name: "outstanding",
        cost: Arc::new(cost),
        sample: None,
        links: false,
    }
}

/// Time per token, in seconds, with one more session on the engine.
fn token_time(engine: &Engine, sessions: u32) -> f64 {
    (f64::from(sessions) + 1.0) / engine.facts.throughput.per_second().max(f64::MIN_POSITIVE)
}
