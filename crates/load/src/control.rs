//! Measurements of membership, recovery and the cost of control processes, on loopback.

pub mod addresses;
pub mod caller;
pub mod cluster;
pub mod configuration;
pub mod cost;
pub mod detector;
pub mod document;
pub mod engines;
pub mod pause;
pub mod process;
pub mod recovery;
pub mod report;
pub mod streams;

use clap::Subcommand;

use crate::control::report::Report;

/// Error of a measurement.
pub type Error = Box<dyn core::error::Error + Send + Sync>;

/// A measurement.
#[derive(Clone, Debug, Subcommand)]
pub enum Action {
    /// CPU time, memory and traffic of control processes, and their calls to the platform.
    Cost(cost::Options),
    /// Time from the acceptance of a configuration until it is in force on all hosts.
    Configuration(configuration::Options),
    /// Recovery time after the loss of an entry host and of an engine.
    Recovery(recovery::Options),
    /// Suspicions and declared deaths caused by paused processes.
    Pause(pause::Options),
    /// The failure detector on an in-memory network.
    Detector(detector::Options),
    /// Memory and CPU time of an entry by its number of streams.
    Streams(streams::Options),
}

impl Action {
    /// Runs the measurement.
    ///
    /// # Errors
    ///
    /// Any error of starting processes or of reading their resource usage.
    pub fn run(&self) -> Result<Vec<Report>, Error> {
        match self {
            Self::Cost(options) => smol::block_on(cost::run(options)),
            Self::Configuration(options) => smol::block_on(configuration::run(options)),
            Self::Recovery(options) => smol::block_on(recovery::run(options)),
            Self::Pause(options) => smol::block_on(pause::run(options)),
            Self::Detector(options) => detector::run(options),
            Self::Streams(options) => smol::block_on(streams::run(options)),
        }
    }
}

/// Prints reports as tables or as JSON lines.
pub fn print(reports: &[Report], json: bool) {
    for report in reports {
        if json {
            println!("{}", report.to_json());
        } else {
            println!("{report}");
        }
    }
}
