//! The program `agatemill-load`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crate::Report;
use crate::bound;
use crate::control;
use crate::experiment;
use crate::run;

/// Open-loop load and experiments. Traffic goes to loopback addresses only.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-load", version)]
pub struct Arguments {
    /// Print a JSON line for each report instead of the table.
    #[arg(long, global = true)]
    pub json: bool,
    /// The action to run.
    #[command(subcommand)]
    pub action: Action,
}

/// An action of the program.
#[derive(Clone, Debug, Subcommand)]
pub enum Action {
    /// Send generated load to running entries.
    Run(run::Options),
    /// Measure membership, recovery and the cost of control processes, as described in docs/CAPACITY.md.
    #[command(subcommand)]
    Control(control::Action),
    /// Compute the maximum throughput of a fleet from its cards and its traffic.
    Bound {
        /// TOML file with the fleet and its traffic, as in examples/bounds.
        document: PathBuf,
    },
    /// Run a named experiment of docs/measurements.md.
    Experiment {
        /// Name of the experiment.
        name: experiment::Name,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of repetitions, each with the next seed.
        #[arg(long, default_value_t = 3)]
        repeats: u64,
        /// Run only the cases whose names contain this text.
        #[arg(long, default_value = "")]
        filter: String,
    },
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    let default = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(default).init();
    let arguments = Arguments::parse();
    match execute(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "agatemill-load: some answers were incorrect or some calls ran more than once"
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("agatemill-load: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the action; returns whether every answer was correct and no call ran more than once.
fn execute(arguments: &Arguments) -> Result<bool, Box<dyn core::error::Error + Send + Sync>> {
    let mut is_correct = true;
    match &arguments.action {
        Action::Run(options) => {
            let report = run::main(options)?;
            is_correct &= print_reports(&[report], arguments.json);
        }
        Action::Bound { document } => bound::main(document, arguments.json)?,
        Action::Control(action) => control::print(&action.run()?, arguments.json),
        Action::Experiment {
            name,
            seed,
            repeats,
            filter,
        } => {
            for seed in *seed..seed.saturating_add(*repeats) {
                if !arguments.json {
                    println!("seed {seed}");
                }
                let options = experiment::Options {
                    seed,
                    filter: filter.clone(),
                };
                is_correct &= print_reports(&name.run(&options)?, arguments.json);
            }
        }
    }
    Ok(is_correct)
}

/// Prints the reports; returns whether they are free of incorrect answers and repeated calls.
fn print_reports(reports: &[Report], json: bool) -> bool {
    if !json {
        println!("{}", Report::header());
    }
    for report in reports {
        if json {
            println!("{}", report.to_json());
        } else {
            println!("{}", report.row());
        }
    }
    reports
        .iter()
        .all(|report| report.wrong + report.repeated == 0)
}
