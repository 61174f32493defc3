//! Time from the acceptance of a configuration until it is in force on all hosts.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;
use futures::future::try_join_all;
use tarpc::context::Context;

use crate::control::Error;
use crate::control::cluster::Cluster;
use crate::control::cluster::connect_local;
use crate::control::document;
use crate::control::report::Report;
use agatemill_config::Envelope;
use agatemill_wire::local::LocalClient;

/// Timeout for a configuration to be in force on all hosts.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Upper limit of the random pause between two changes, which spreads them over the phases of periodic tasks.
const MAX_PAUSE_MS: u64 = 2_000;

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Numbers of control processes.
    #[arg(long, value_delimiter = ',', default_value = "8,30,100")]
    pub sizes: Vec<usize>,
    /// Number of changes for each size.
    #[arg(long, default_value_t = 20)]
    pub repeats: usize,
    /// Number of organisations in the document, each of about 220 bytes.
    #[arg(long, default_value_t = 10)]
    pub organisations: usize,
    /// Seed of the pauses between changes.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Directory of the binaries.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Measures each size.
///
/// # Errors
///
/// Any error of a cluster, or when a configuration is not in force in time.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let mut reports = Vec::new();
    let mut random = fastrand::Rng::with_seed(options.seed);
    for size in &options.sizes {
        let mut cluster = Cluster::start(options.binaries.clone(), *size, false).await?;
        let text = document::render(options.organisations, &[], "0")?;
        let bytes = text.len();
        let generation = cluster.apply(text).await?;
        cluster.wait_until_converged(generation).await?;
        let mut clients = Vec::new();
        for index in cluster.running_hosts() {
            clients.push(connect_local(cluster.addresses.control(index)).await?);
        }
        let mut times = Vec::new();
        for repeat in 1..=options.repeats {
            let pause = Duration::from_millis(random.u64(..MAX_PAUSE_MS));
            agatemill_runtime::sleep(pause).await;
            let text = document::render(options.organisations, &[], &repeat.to_string())?;
            times.push(apply_and_wait(&mut cluster, &clients, text).await?);
        }
        let seed = options.seed;
        let title = format!("configuration, {size} processes, {bytes} bytes, seed {seed}");
        let mut report = Report::new(title);
        report.add_times("accepted to in force at all", &times);
        reports.push(report);
    }
    Ok(reports)
}

/// Applies a configuration and returns the time until it is in force on all hosts.
async fn apply_and_wait(
    cluster: &mut Cluster,
    clients: &[LocalClient],
    text: String,
) -> Result<Duration, Error> {
    let generation = cluster.apply(text).await?;
    let start = agatemill_runtime::now();
    let follows = clients.iter().map(async |client| {
        let found = client
            .follow(context(), generation - 1, PROPAGATION_TIMEOUT)
            .await?;
        let found = found.ok_or("a configuration was not in force on all hosts in time")?;
        let envelope = Envelope::try_from(found)?;
        if envelope.generation.0 == generation {
            return Ok(());
        }
        Err(Error::from("a control process returned another generation"))
    });
    try_join_all(follows).await?;
    Ok(agatemill_runtime::now().saturating_sub(start))
}

fn context() -> Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + 2 * PROPAGATION_TIMEOUT;
    context
}
