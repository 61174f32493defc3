//! How a chain is chosen among those that cover a model.

use core::fmt;
use std::sync::Arc;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;

use crate::Engine;

/// Cost of one more session on an engine; the second argument is a random number in `0.0..1.0`.
pub type Cost = Arc<dyn Fn(&Engine, f64) -> f64 + Send + Sync>;

/// How a chain is chosen: the one with the lowest sum of costs.
#[derive(Clone)]
pub struct Policy {
    /// Name, for logs and measurements.
    pub name: &'static str,
    /// Cost of one more session on an engine, in seconds for each token where the policy knows it.
    pub cost: Cost,
    /// Engines to look at for each range of layers, chosen at random; all when `None`.
    pub sample: Option<usize>,
    /// Whether the time over the link to the engine is added to the cost.
    pub links: bool,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Policy")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// Name of a policy, as in the settings of an entry.
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
}

impl Name {
    /// All policies, in the order in which measurements list them.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::Estimated,
        Self::Measured,
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
        }
    }
}

/// Any engine.
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

/// The engine that was chosen longest ago.
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

/// The least load in the last report.
#[must_use]
pub fn least_reported() -> Policy {
    let cost =
        |engine: &Engine, random: f64| token_time(engine, engine.load.reported()) + random * 1e-9;
    Policy {
        name: "least-reported",
        cost: Arc::new(cost),
        sample: None,
        links: false,
    }
}

/// The less loaded of two random engines, by the last report.
#[must_use]
pub fn two_choices() -> Policy {
    Policy {
        name: "two-choices",
        sample: Some(2),
        ..least_reported()
    }
}

/// The least load in the last report together with what this entry has sent since then, and the time over
/// the link.
#[must_use]
pub fn estimated() -> Policy {
    let cost =
        |engine: &Engine, random: f64| token_time(engine, engine.load.estimated()) + random * 1e-9;
    Policy {
        name: "estimated",
        cost: Arc::new(cost),
        sample: None,
        links: true,
    }
}

/// The estimated load, with the measured step time in place of the document's where it is slower.
#[must_use]
pub fn measured() -> Policy {
    let cost = |engine: &Engine, random: f64| {
        let sessions = engine.load.estimated();
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

/// Time for each token, in seconds, when one more session shares the engine.
fn token_time(engine: &Engine, sessions: u32) -> f64 {
    (f64::from(sessions) + 1.0) / engine.facts.throughput.per_second().max(f64::MIN_POSITIVE)
}
