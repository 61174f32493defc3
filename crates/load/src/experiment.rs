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
    /// A third of the engines fails.
    Failing,
    /// A small organisation beside the flood of a large one; see `organisations_ms` with `--json`.
    Flood,
    /// Requests through an entry on one thread.
    Path1,
    /// Requests through an entry on four threads.
    Path4,
}

/// What is run of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of the load.
    pub seed: u64,
    /// Text in the names of the runs that are made; empty for all.
    pub filter: String,
}

impl Options {
    /// Whether the run of this name is made.
    #[must_use]
    pub fn is_selected(&self, name: &str) -> bool {
        name.contains(&self.filter)
    }
}

impl Name {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Whatever keeps it from running.
    pub fn run(self, options: &Options) -> Outcome {
        match self {
            Self::Routing => routing::delayed_reports(options, 1.0),
            Self::Latency => routing::delayed_reports(options, 0.5),
            Self::Slow => routing::slow(options),
            Self::Overload => routing::overload(options),
            Self::Failing => routing::failing(options),
            Self::Flood => routing::flood(options),
            Self::Path1 => path::run(options, 1),
            Self::Path4 => path::run(options, 4),
        }
    }
}
