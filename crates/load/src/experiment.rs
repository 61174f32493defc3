//! Named experiments.

pub mod path;
pub mod routing;

use clap::ValueEnum;

use crate::Report;

/// Result of an experiment: the reports, in the order in which they are printed.
pub type Outcome = Result<Vec<Report>, Box<dyn core::error::Error + Send + Sync>>;

/// A named experiment of `docs/measurements.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Name {
    /// Policies at saturation with late reports.
    Routing,
    /// Policies at half the bound with late reports.
    Latency,
    /// Policies while an engine becomes ten times slower.
    Slow,
    /// Policies at twice the bound.
    Overload,
    /// Requests through an entry on one thread.
    Path1,
    /// Requests through an entry on four threads.
    Path4,
}

impl Name {
    /// Runs the experiment with a seed.
    ///
    /// # Errors
    ///
    /// Whatever keeps it from running.
    pub fn run(self, seed: u64) -> Outcome {
        match self {
            Self::Routing => routing::late(seed, 1.0),
            Self::Latency => routing::late(seed, 0.5),
            Self::Slow => routing::slow(seed),
            Self::Overload => routing::overload(seed),
            Self::Path1 => path::run(seed, 1),
            Self::Path4 => path::run(seed, 4),
        }
    }
}
