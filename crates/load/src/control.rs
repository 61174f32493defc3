//! Measurements of membership, recovery and the cost of control, on loopback.

pub mod caller;
pub mod cluster;
pub mod configuration;
pub mod cost;
pub mod detector;
pub mod document;
pub mod engines;
pub mod network;
pub mod pause;
pub mod process;
pub mod recovery;
pub mod report;
pub mod streams;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crate::control::report::Report;

/// Error of a measurement.
pub type Error = Box<dyn core::error::Error + Send + Sync>;

/// Measures membership, recovery and the cost of control.
#[derive(Clone, Debug, Parser)]
#[command(name = "control")]
pub struct Arguments {
    /// Print a JSON line for each report instead of the table.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to measure.
    #[command(subcommand)]
    pub action: Action,
}

/// What to measure.
#[derive(Clone, Debug, Subcommand)]
pub enum Action {
    /// Processor time, memory and traffic of control processes, and calls to the platform.
    Cost(cost::Options),
    /// Time from the acceptance of a configuration to its being in force everywhere.
    Configuration(configuration::Options),
    /// Time to recover from the loss of an entry host and of an engine.
    Recovery(recovery::Options),
    /// Suspicions and deaths of processes that are paused.
    Pause(pause::Options),
    /// The failure detector on an in-memory network.
    Detector(detector::Options),
    /// Memory and processor time of an entry by the number of its streams.
    Streams(streams::Options),
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let default = env_logger::Env::default().default_filter_or("off");
    env_logger::Builder::from_env(default).init();
    let arguments = Arguments::parse();
    match arguments.action.run() {
        Ok(reports) => {
            print(&reports, arguments.json);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("control: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Action {
    /// Runs the measurement.
    ///
    /// # Errors
    ///
    /// Any error of starting processes or of reading their figures.
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

fn print(reports: &[Report], json: bool) {
    for report in reports {
        if json {
            println!("{}", report.to_json());
        } else {
            println!("{report}");
        }
    }
}
