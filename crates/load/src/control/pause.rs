//! Suspicions and declared deaths caused by paused processes.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;
use rustix::process::Signal;

use crate::control::Error;
use crate::control::cluster::Cluster;
use crate::control::document;
use crate::control::report::Report;
use crate::control::report::usize_to_f64;

/// Time after a pause in which its effects are still counted.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Number of control processes.
    #[arg(long, default_value_t = 8)]
    pub size: usize,
    /// Lengths of the pauses in milliseconds.
    #[arg(long, value_delimiter = ',', default_value = "1000,3000")]
    pub pauses: Vec<u64>,
    /// Number of pauses of each length.
    #[arg(long, default_value_t = 5)]
    pub repeats: usize,
    /// Seed of the random choice of processes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Directory of the binaries.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Pauses one process at a time and counts the state changes of members that all processes log: those of the
/// paused process at the others, and those of the others at the paused process.
///
/// # Errors
///
/// Any error of a cluster.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let mut random = fastrand::Rng::with_seed(options.seed);
    let mut cluster = Cluster::start(options.binaries.clone(), options.size, false).await?;
    let generation = cluster.apply(document::render(10, &[], "0")?).await?;
    cluster.wait_until_converged(generation).await?;
    let mut reports = Vec::new();
    for pause in &options.pauses {
        let before = Transitions::count(&cluster);
        for _ in 0..options.repeats {
            let index = random.usize(..options.size);
            let Some(process) = &cluster.controls[index] else {
                continue;
            };
            process.signal(Signal::STOP)?;
            agatemill_runtime::sleep(Duration::from_millis(*pause)).await;
            process.signal(Signal::CONT)?;
            agatemill_runtime::sleep(OBSERVATION_TIME).await;
        }
        cluster.wait_until_converged(generation).await?;
        let after = Transitions::count(&cluster);
        let title = format!(
            "pauses of {pause} ms, {} processes, seed {}",
            options.size, options.seed
        );
        let mut report = Report::new(title);
        report.add("pauses", usize_to_f64(options.repeats), "");
        let suspected = after.suspected - before.suspected;
        report.add(
            "records set to suspect, all viewers",
            usize_to_f64(suspected),
            "",
        );
        let dead = after.dead - before.dead;
        report.add("records set to dead, all viewers", usize_to_f64(dead), "");
        reports.push(report);
    }
    Ok(reports)
}

/// Numbers of member state changes in the logs of all processes.
struct Transitions {
    suspected: usize,
    dead: usize,
}

impl Transitions {
    fn count(cluster: &Cluster) -> Self {
        let total = |text: &str| {
            let running = cluster.controls.iter().flatten();
            running
                .map(|process| process.count_log_lines("members: state changed", text))
                .sum()
        };
        Self {
            suspected: total("state=Suspect"),
            dead: total("state=Dead"),
        }
    }
}
