//! The program `agatemill-soak`.

use core::time::Duration;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use crate::play;

/// Randomized soak of the real programs on one machine.
#[derive(Clone, Debug, Parser)]
#[command(name = "agatemill-soak", version)]
pub struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of seeds, each one above the last.
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Begin no seed after this many minutes.
    #[arg(long)]
    pub minutes: Option<u64>,
    /// Seconds over which the faults of a seed begin.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// The gateway's program; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    pub gateway: Option<PathBuf>,
    /// Folder for settings and logs, one folder a seed; by default a temporary one that is kept for a seed
    /// that fails.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
}

/// Runs the program with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    match start(&Options::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("agatemill-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Whether no seed broke a promise.
fn start(options: &Options) -> io::Result<bool> {
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
    let mut is_sound = true;
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        if end.is_some_and(|end| agatemill_runtime::now() > end) {
            println!("seed {seed} and later ones: not run, the time is over");
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
        let report = smol::block_on(play::run(&program, &folder, seed, over))?;
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} broken",
            report.faults,
            report.served,
            report.sent,
            report.broken.len()
        );
        for line in &report.broken {
            println!("  {line}");
        }
        if report.broken.is_empty() {
            if options.logs.is_none() {
                std::fs::remove_dir_all(&folder)?;
            }
        } else {
            println!("  settings and logs: {}", folder.display());
            is_sound = false;
        }
    }
    Ok(is_sound)
}
