//! Recovery time after the loss of an entry host and of an engine.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;

use crate::control::Error;
use crate::control::caller;
use crate::control::caller::Stream;
use crate::control::cluster::Cluster;
use crate::control::cluster::START_TIMEOUT;
use crate::control::cluster::wait_until;
use crate::control::document;
use crate::control::engines;
use crate::control::engines::Engine;
use crate::control::report::Report;
use crate::control::report::usize_to_f64;
use agatemill_core::quantity::Rate;
use agatemill_fake::engine;
use agatemill_http::Client;

/// Timeout for all entries to remove a killed entry host from their lists.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Upper limit of the random pause before a kill, which spreads kills over the phases of periodic tasks.
const MAX_PAUSE_MS: u64 = 1_000;

/// Time between the start of streams and the kill of an engine.
const KILL_DELAY: Duration = Duration::from_millis(400);

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Number of entry hosts.
    #[arg(long, default_value_t = 8)]
    pub size: usize,
    /// Number of kills of an entry host.
    #[arg(long, default_value_t = 20)]
    pub hosts: usize,
    /// Number of kills of an engine.
    #[arg(long, default_value_t = 20)]
    pub engines: usize,
    /// Number of streams in progress when an engine is killed.
    #[arg(long, default_value_t = 24)]
    pub streams: u64,
    /// Number of tokens in each stream.
    #[arg(long, default_value_t = 150)]
    pub tokens: u32,
    /// Throughput of each engine, in token positions per second.
    #[arg(long, default_value = "300/s")]
    pub throughput: Rate,
    /// Number of engines in each stage.
    #[arg(long, default_value_t = 4)]
    pub replicas: usize,
    /// Seed of the random choice of hosts and engines to kill.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Directory of the binaries.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Measures the losses of entry hosts, then those of engines.
///
/// # Errors
///
/// Any error of a cluster, or when a host is not removed or listed again in time.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let mut random = fastrand::Rng::with_seed(options.seed);
    let client = Client::new(Duration::from_secs(2));
    let mut cluster = Cluster::start(options.binaries.clone(), options.size, true).await?;
    let mut engines =
        engines::start(cluster.addresses, options.replicas, options.throughput).await?;
    let text = document::render(10, &engines::definitions(&engines), "0")?;
    let generation = cluster.apply(text).await?;
    cluster.wait_until_converged(generation).await?;
    wait_until_all_listed(&cluster, &client).await?;
    let mut removal_times = Vec::new();
    for _ in 0..options.hosts {
        let pause = Duration::from_millis(random.u64(..MAX_PAUSE_MS));
        agatemill_runtime::sleep(pause).await;
        let victim = random.usize(..options.size);
        removal_times.push(kill_host(&mut cluster, &client, victim).await?);
        wait_until_all_listed(&cluster, &client).await?;
    }
    let mut summary = Summary::default();
    for repeat in 0..options.engines {
        let victim = random.usize(..engines.len());
        let kill = kill_engine(&cluster, &client, &mut engines[victim], options, repeat).await?;
        summary.add(&kill);
        // Waits until the entries use the engine again; circuit breakers stay open for a few seconds.
        agatemill_runtime::sleep(Duration::from_secs(4)).await;
    }
    let (size, seed) = (options.size, options.seed);
    let mut hosts = Report::new(format!("loss of an entry host, {size} hosts, seed {seed}"));
    hosts.add_times("killed to absent from all answers", &removal_times);
    let title = format!(
        "loss of an engine, {} streams, seed {seed}",
        options.streams
    );
    Ok(vec![hosts, summary.report(title)])
}

/// Waits until every entry is ready and lists all hosts.
async fn wait_until_all_listed(cluster: &Cluster, client: &Client) -> Result<(), Error> {
    let size = cluster.controls.len();
    let is_listed = async || {
        for index in 0..size {
            let address = cluster.addresses.entry(index);
            let hosts = caller::entries(client, address).await;
            let has_all = hosts.is_ok_and(|hosts| hosts.len() == size);
            if !has_all || !caller::is_ready(client, address).await {
                return false;
            }
        }
        true
    };
    wait_until(START_TIMEOUT, is_listed)
        .await
        .ok_or("not all entries were listed in time")?;
    Ok(())
}

/// Kills both processes of a host and restarts them once no entry lists the host. Returns the time until then.
async fn kill_host(
    cluster: &mut Cluster,
    client: &Client,
    victim: usize,
) -> Result<Duration, Error> {
    let name = format!("host-{victim:03}");
    let killed = agatemill_runtime::now();
    drop(cluster.entries[victim].take());
    drop(cluster.controls[victim].take());
    let is_removed = async || {
        for index in cluster.running_hosts() {
            let hosts = caller::entries(client, cluster.addresses.entry(index)).await;
            if !hosts.is_ok_and(|hosts| !hosts.contains(&name)) {
                return false;
            }
        }
        true
    };
    wait_until(REMOVAL_TIMEOUT, is_removed)
        .await
        .ok_or("a killed host was still listed after the timeout")?;
    let time = agatemill_runtime::now().saturating_sub(killed);
    cluster.controls[victim] = Some(cluster.start_control(victim)?);
    cluster.entries[victim] = Some(cluster.start_entry(victim)?);
    Ok(time)
}

/// A kill of an engine and the streams that were in progress.
struct Kill {
    at: Duration,
    /// Streams that had used the engine before the kill.
    affected: Vec<Stream>,
    /// All other streams.
    unaffected: Vec<Stream>,
}

/// Kills an engine while streams are in progress, and restarts it when the streams have ended.
async fn kill_engine(
    cluster: &Cluster,
    client: &Client,
    engine: &mut Engine,
    options: &Options,
    repeat: usize,
) -> Result<Kill, Error> {
    let streams = (0..options.streams).map(|number| {
        let index = usize::try_from(number).unwrap_or(0) % options.size;
        let entry = cluster.addresses.entry(index);
        let seed = u64::try_from(repeat).unwrap_or(0) * options.streams + number;
        let (client, tokens) = (client.clone(), options.tokens);
        agatemill_runtime::spawn(async move { caller::stream(&client, entry, seed, tokens).await })
    });
    let streams: Vec<_> = streams.collect();
    agatemill_runtime::sleep(KILL_DELAY).await;
    let killed = agatemill_runtime::now();
    let executions = engine.running.as_ref().map(engine::Engine::executions);
    let executions = executions.unwrap_or_default();
    drop(engine.running.take());
    let mut kill = Kill {
        at: killed,
        affected: Vec::new(),
        unaffected: Vec::new(),
    };
    for stream in streams {
        let stream = stream.await?;
        let is_affected = executions
            .iter()
            .any(|execution| execution.session.as_str().starts_with(&stream.request_id));
        if is_affected {
            kill.affected.push(stream);
        } else {
            kill.unaffected.push(stream);
        }
    }
    engine.start().await?;
    Ok(kill)
}

/// Results of all kills of engines.
#[derive(Default)]
struct Summary {
    /// Time from the kill to the next token, for each affected stream that received one.
    time_to_next_token: Vec<Duration>,
    /// Longest gap between tokens after the kill, for each unaffected stream.
    unaffected_gaps: Vec<Duration>,
    /// Longest gap between tokens before the kill, for each stream.
    gaps_before: Vec<Duration>,
    /// Streams that broke off.
    incomplete: usize,
    /// Affected streams without a token after the kill.
    no_token_after_kill: usize,
}

impl Summary {
    fn add(&mut self, kill: &Kill) {
        for stream in kill.affected.iter().chain(&kill.unaffected) {
            self.incomplete += usize::from(!stream.is_complete);
            let is_early = |token: &&Duration| **token < kill.at;
            let tokens = stream.tokens.iter().filter(is_early).copied().collect();
            let before_kill = Stream {
                tokens,
                ..Stream::default()
            };
            self.gaps_before
                .extend(before_kill.longest_gap_after(Duration::ZERO));
        }
        for stream in &kill.affected {
            match stream.first_token_after(kill.at) {
                Some(next) => self.time_to_next_token.push(next.saturating_sub(kill.at)),
                None => self.no_token_after_kill += 1,
            }
        }
        let gaps = kill.unaffected.iter();
        self.unaffected_gaps
            .extend(gaps.filter_map(|stream| stream.longest_gap_after(kill.at)));
    }

    fn report(&self, title: String) -> Report {
        let mut report = Report::new(title);
        report.add_times(
            "touched streams, kill to next token",
            &self.time_to_next_token,
        );
        report.add_times("other streams, longest gap after it", &self.unaffected_gaps);
        report.add_times("all streams, longest gap before it", &self.gaps_before);
        report.add(
            "touched streams that had no token left",
            usize_to_f64(self.no_token_after_kill),
            "",
        );
        report.add("streams that broke off", usize_to_f64(self.incomplete), "");
        report
    }
}
