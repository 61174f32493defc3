//! Memory and CPU time of an entry by its numbers of streams and of organisations.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;

use crate::control::Error;
use crate::control::caller;
use crate::control::cluster::Cluster;
use crate::control::cluster::START_TIMEOUT;
use crate::control::cluster::wait_until;
use crate::control::document;
use crate::control::engines;
use crate::control::process::Process;
use crate::control::process::Usage;
use crate::control::report::Report;
use agatemill_core::quantity::Rate;
use agatemill_http::Client;

/// Time for the memory of the processes to settle after the start.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Numbers of concurrent streams.
    #[arg(long, value_delimiter = ',', default_value = "50,200,400")]
    pub sizes: Vec<u64>,
    /// Number of tokens in each stream.
    #[arg(long, default_value_t = 60)]
    pub tokens: u32,
    /// Number of organisations in the document.
    #[arg(long, default_value_t = 10)]
    pub organisations: usize,
    /// Throughput of each engine, in token positions per second.
    #[arg(long, default_value = "2000/s")]
    pub throughput: Rate,
    /// Number of engines in each stage.
    #[arg(long, default_value_t = 8)]
    pub replicas: usize,
    /// Directory of the binaries.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Measures each size on one entry.
///
/// # Errors
///
/// Any error of the processes, or a refused stream.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let client = Client::new(Duration::from_secs(2));
    let mut cluster = Cluster::start(options.binaries.clone(), 1, true).await?;
    let engines = engines::start(cluster.addresses, options.replicas, options.throughput).await?;
    let definitions = engines::definitions(&engines);
    let text = document::render(options.organisations, &definitions, "0")?;
    let bytes = u32::try_from(text.len()).unwrap_or(u32::MAX);
    cluster.apply(text).await?;
    let entry = cluster.addresses.entry(0);
    let is_ready = async || caller::is_ready(&client, entry).await;
    wait_until(START_TIMEOUT, is_ready)
        .await
        .ok_or("the entry was not ready in time")?;
    agatemill_runtime::sleep(SETTLE_TIME).await;
    let mut report = Report::new(format!(
        "entry with {} organisations",
        options.organisations
    ));
    report.add("document", f64::from(bytes), "B");
    report.add(
        "entry memory without streams",
        usage(&cluster.entries)?.memory_bytes / 1e6,
        "MB",
    );
    report.add(
        "control memory",
        usage(&cluster.controls)?.memory_bytes / 1e6,
        "MB",
    );
    let mut reports = vec![report];
    for size in &options.sizes {
        let before = usage(&cluster.entries)?;
        let start = agatemill_runtime::now();
        let streams: Vec<_> = (0..*size)
            .map(|seed| {
                let (client, tokens) = (client.clone(), options.tokens);
                agatemill_runtime::spawn(async move {
                    caller::stream(&client, entry, seed, tokens).await
                })
            })
            .collect();
        let mut peak = before.memory_bytes;
        let mut received_tokens = 0_u32;
        let mut incomplete = 0_u32;
        for stream in streams {
            while !stream.is_finished() {
                peak = peak.max(usage(&cluster.entries)?.memory_bytes);
                agatemill_runtime::sleep(Duration::from_millis(20)).await;
            }
            let stream = stream.await?;
            incomplete += u32::from(!stream.is_complete);
            received_tokens += u32::try_from(stream.tokens.len()).unwrap_or(0);
        }
        let after = usage(&cluster.entries)?;
        let seconds = agatemill_runtime::now().saturating_sub(start).as_secs_f64();
        let cpu_seconds = after.cpu_seconds - before.cpu_seconds;
        let mut report = Report::new(format!("{size} streams of {} tokens", options.tokens));
        report.add("seconds", seconds, "s");
        report.add("tokens", f64::from(received_tokens), "");
        report.add("streams that broke off", f64::from(incomplete), "");
        report.add(
            "processor for each token",
            cpu_seconds / f64::from(received_tokens.max(1)) * 1e6,
            "µs",
        );
        report.add("memory before", before.memory_bytes / 1e6, "MB");
        report.add("memory at the peak", peak / 1e6, "MB");
        reports.push(report);
    }
    Ok(reports)
}

/// Reads the resource usage of the first process.
fn usage(processes: &[Option<Process>]) -> Result<Usage, Error> {
    let process = processes.first().and_then(Option::as_ref);
    process.ok_or("the process is not running")?.usage()
}
