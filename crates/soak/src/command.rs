//! Command line of `agatemill-soak`.

use core::time::Duration;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::plan;
use crate::run;

/// Randomized soak of the real programs on one machine.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-soak", version)]
pub struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Start no seed after this many minutes.
    #[arg(long)]
    pub minutes: Option<u64>,
    /// Seconds within which the faults of a seed start.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// Number of hosts, each in a process of its own.
    #[arg(long, default_value_t = plan::HOSTS, value_parser = clap::value_parser!(u32).range(1..=200))]
    pub hosts: u32,
    /// Gateway binary; by default the one in the directory of this program.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    /// Directory for settings and logs, with one subdirectory per seed; by default a temporary directory, which is
    /// kept if the seed fails.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    match run_seeds(&Options::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("agatemill-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the seeds; returns whether all of them passed.
fn run_seeds(options: &Options) -> io::Result<bool> {
    let program = match &options.gateway {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("agatemill-gateway"),
    };
    if !program.is_file() {
        let text = format!(
            "{} is missing; build agatemill-gateway first",
            program.display()
        );
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    let end = options
        .minutes
        .map(|minutes| Duration::from_secs(60 * minutes));
    let mut has_passed = true;
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        if end.is_some_and(|end| agatemill_runtime::now() > end) {
            println!("seed {seed} and later: not run, the time limit is reached");
            break;
        }
        let folder = match &options.logs {
            Some(logs) => logs.join(seed.to_string()),
            None => tempfile::Builder::new()
                .prefix("agatemill-soak-")
                .tempdir()?
                .keep(),
        };
        let over = Duration::from_secs(options.seconds);
        let report = smol::block_on(run::execute(&program, &folder, seed, over, options.hosts))?;
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} departures and {} backoffs stated, {} violations",
            report.faults,
            report.served,
            report.sent,
            report.departures,
            report.backoffs,
            report.violations.len()
        );
        for line in &report.violations {
            println!("  {line}");
        }
        if report.violations.is_empty() {
            if options.logs.is_none() {
                std::fs::remove_dir_all(&folder)?;
            }
        } else {
            println!("  settings and logs: {}", folder.display());
            has_passed = false;
        }
    }
    Ok(has_passed)
}
