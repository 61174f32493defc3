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
    /// Policies with an engine that becomes ten times slower.
    Slow,
    /// Policies at twice the bound.
    Overload,
    /// Failure of a third of the engines.
    Failing,
    /// Isolation of a small organisation from a large one that overloads the system; see `organisations_ms`
    /// with `--json`.
    Flood,
    /// Cost of the request path through an entry with one thread.
    Path1,
    /// Cost of the request path through an entry with four threads.
    Path4,
}

/// Seed and selection of the runs of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of the load.
    pub seed: u64,
    /// Text that the name of a run must contain; empty selects all runs.
    pub filter: String,
}

impl Options {
    /// Whether the run with this name is selected.
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
    /// Any error that prevents a run.
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
