//! CPU time, memory and traffic of control processes, and their calls to the platform.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;
use fastrand::Rng;

use crate::control::Error;
use crate::control::cluster::Cluster;
use crate::control::document;
use crate::control::process::Usage;
use crate::control::report::Report;
use crate::control::report::usize_to_f64;
use agatemill_fake::platform::Counts;

/// Interval between two changes of the configuration, for 6,800 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(12_700);

/// Interval between two restarts under churn.
const RESTART_INTERVAL: Duration = Duration::from_secs(5);

/// Time between the kill and the restart of a process.
const DOWNTIME: Duration = Duration::from_secs(1);

/// Interval at which due changes and restarts are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the burst of gossip after joining to pass.
const WARM_UP: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Numbers of control processes.
    #[arg(long, value_delimiter = ',', default_value = "8,30,100")]
    pub sizes: Vec<usize>,
    /// Duration of each measurement, in seconds.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Number of organisations in the document, each of about 220 bytes.
    #[arg(long, default_value_t = 10)]
    pub organisations: usize,
    /// Seed of the random choice of processes to restart.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Directory of the binaries.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Measures each size, idle and under churn.
///
/// # Errors
///
/// Any error of a cluster.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let mut reports = Vec::new();
    for size in &options.sizes {
        let mut cluster = Cluster::start(options.binaries.clone(), *size, false).await?;
        let text = document::render(options.organisations, &[], "0")?;
        let generation = cluster.apply(text).await?;
        cluster.wait_until_converged(generation).await?;
        agatemill_runtime::sleep(WARM_UP).await;
        reports.push(measure(&mut cluster, options, false).await?);
        reports.push(measure(&mut cluster, options, true).await?);
    }
    Ok(reports)
}

/// Measures one period. Processes that were restarted in it are left out of the per-process figures.
async fn measure(cluster: &mut Cluster, options: &Options, churn: bool) -> Result<Report, Error> {
    let before = usages(cluster);
    let calls = cluster.platform.counts();
    let start = agatemill_runtime::now();
    let end = start + Duration::from_secs(options.seconds);
    let restarted = if churn {
        apply_churn(cluster, options, end).await?
    } else {
        agatemill_runtime::sleep(end.saturating_sub(start)).await;
        Vec::new()
    };
    let seconds = agatemill_runtime::now().saturating_sub(start).as_secs_f64();
    let after = usages(cluster);
    let calls_after = cluster.platform.counts();
    let name = if churn { "churn" } else { "idle" };
    let Options {
        organisations,
        seed,
        ..
    } = options;
    let title = format!(
        "cost of {} processes, {name}, {organisations} organisations, seed {seed}, {seconds:.1} s",
        cluster.controls.len()
    );
    let mut report = Report::new(title);
    let was_not_restarted = |index: &usize| !restarted.contains(index);
    let pairs: Vec<_> = (0..before.len())
        .filter(was_not_restarted)
        .filter_map(|index| Some((before[index]?, after[index]?)))
        .collect();
    let rate = |value: fn(&Usage) -> f64| -> Vec<f64> {
        let difference = pairs.iter().map(|(old, new)| value(new) - value(old));
        difference.map(|value| value / seconds).collect()
    };
    let share: Vec<_> = rate(|usage| usage.cpu_seconds);
    let share: Vec<_> = share.iter().map(|share| share * 100.0).collect();
    let memory: Vec<_> = pairs
        .iter()
        .map(|(_, new)| new.memory_bytes / 1e6)
        .collect();
    report.add("processes counted", usize_to_f64(pairs.len()), "");
    report.add("restarts", usize_to_f64(restarted.len()), "");
    report.add_spread("processor", &share, "% of a core");
    report.add_spread("resident memory", &memory, "MB");
    report.add_spread("sent", &rate(|usage| usage.sent_bytes), "B/s");
    report.add_spread("received", &rate(|usage| usage.received_bytes), "B/s");
    add_calls(&mut report, &calls, &calls_after, seconds);
    Ok(report)
}

fn usages(cluster: &Cluster) -> Vec<Option<Usage>> {
    let usage = |process: &Option<_>| {
        let process: &crate::control::process::Process = process.as_ref()?;
        process.usage().ok()
    };
    cluster.controls.iter().map(usage).collect()
}

/// Restarts processes and changes the configuration until `end`; returns the indices of the restarted hosts.
async fn apply_churn(
    cluster: &mut Cluster,
    options: &Options,
    end: Duration,
) -> Result<Vec<usize>, Error> {
    let mut random = Rng::with_seed(options.seed);
    let mut restarted = Vec::new();
    let mut next_change = agatemill_runtime::now();
    let mut next_restart = next_change;
    while agatemill_runtime::now() < end {
        let now = agatemill_runtime::now();
        if now >= next_change {
            next_change = now + CHANGE_INTERVAL;
            let comment = format!("{now:?}");
            let text = document::render(options.organisations, &[], &comment)?;
            cluster.apply(text).await?;
        }
        if now >= next_restart {
            next_restart = now + RESTART_INTERVAL;
            let index = random.usize(..cluster.controls.len());
            drop(cluster.controls[index].take());
            agatemill_runtime::sleep(DOWNTIME).await;
            cluster.controls[index] = Some(cluster.start_control(index)?);
            restarted.push(index);
        }
        agatemill_runtime::sleep(POLL_INTERVAL).await;
    }
    Ok(restarted)
}

fn add_calls(report: &mut Report, before: &Counts, after: &Counts, seconds: f64) {
    let mut rate = |name: &str, before: u64, after: u64| {
        let calls = u32::try_from(after - before).unwrap_or(u32::MAX);
        report.add(name, f64::from(calls) / seconds, "calls/s");
    };
    rate("platform reads", before.reads.total, after.reads.total);
    rate("platform writes", before.writes.total, after.writes.total);
    rate("platform leases", before.leases.total, after.leases.total);
    rate(
        "platform watches opened",
        before.watches.total,
        after.watches.total,
    );
    let waiting = u32::try_from(after.waiting).unwrap_or(u32::MAX);
    report.add("platform watches waiting", f64::from(waiting), "");
}
