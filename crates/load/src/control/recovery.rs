//! Time to recover from the loss of an entry host and of an engine.

use core::time::Duration;
use std::path::PathBuf;

use clap::Args;

use crate::control::Error;
use crate::control::caller;
use crate::control::caller::Stream;
use crate::control::cluster::Cluster;
use crate::control::cluster::PATIENCE;
use crate::control::cluster::until;
use crate::control::document;
use crate::control::engines;
use crate::control::engines::Engine;
use crate::control::report::Report;
use crate::control::report::count;
use agatemill_core::quantity::Rate;
use agatemill_fake::engine;
use agatemill_http::Client;

/// How long an entry host may stay in answers after its death.
const LIMIT: Duration = Duration::from_secs(20);

/// Longest random pause before a kill, so that kills come at any moment of the periodic work.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// Time between the start of streams and the kill of an engine.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// What to measure.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Entry hosts.
    #[arg(long, default_value_t = 8)]
    pub size: usize,
    /// Kills of an entry host.
    #[arg(long, default_value_t = 20)]
    pub hosts: usize,
    /// Kills of an engine.
    #[arg(long, default_value_t = 20)]
    pub engines: usize,
    /// Streams in progress when an engine is killed.
    #[arg(long, default_value_t = 24)]
    pub streams: u64,
    /// Tokens of each stream.
    #[arg(long, default_value_t = 150)]
    pub tokens: u32,
    /// Token positions that each engine runs in a second.
    #[arg(long, default_value = "300/s")]
    pub throughput: Rate,
    /// Engines of each stage.
    #[arg(long, default_value_t = 4)]
    pub replicas: usize,
    /// Seed of the choice of victims.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Directory of the programs.
    #[arg(long, default_value = "target/release")]
    pub binaries: PathBuf,
}

/// Measures both.
///
/// # Errors
///
/// Any error of a cluster, or that a host did not vanish or return in time.
pub async fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let mut random = fastrand::Rng::with_seed(options.seed);
    let client = Client::new(Duration::from_secs(2));
    let mut cluster = Cluster::start(options.binaries.clone(), options.size, true).await?;
    let mut engines = engines::start(cluster.network, options.replicas, options.throughput).await?;
    let text = document::write(10, &engines::facts(&engines), "0")?;
    let generation = cluster.apply(text).await?;
    cluster.settle(generation).await?;
    all_listed(&cluster, &client).await?;
    let mut gone = Vec::new();
    for _ in 0..options.hosts {
        let pause = Duration::from_millis(random.u64(..LONGEST_PAUSE_MS));
        agatemill_runtime::sleep(pause).await;
        let victim = random.usize(..options.size);
        gone.push(lose_host(&mut cluster, &client, victim).await?);
        all_listed(&cluster, &client).await?;
    }
    let mut found = Found::default();
    for repeat in 0..options.engines {
        let victim = random.usize(..engines.len());
        let cut = lose_engine(&cluster, &client, &mut engines[victim], options, repeat).await?;
        found.add(&cut);
        // Until the entries have seen the engine again; breakers open for a few seconds.
        agatemill_runtime::sleep(Duration::from_secs(4)).await;
    }
    let (size, seed) = (options.size, options.seed);
    let mut hosts = Report::new(format!("loss of an entry host, {size} hosts, seed {seed}"));
    hosts.add_times("killed to absent from all answers", &gone);
    let title = format!(
        "loss of an engine, {} streams, seed {seed}",
        options.streams
    );
    Ok(vec![hosts, found.report(title)])
}

/// Waits until every entry serves and names all hosts.
async fn all_listed(cluster: &Cluster, client: &Client) -> Result<(), Error> {
    let size = cluster.controls.len();
    let listed = async || {
        for index in 0..size {
            let address = cluster.network.entry(index);
            let hosts = caller::entries(client, address).await;
            let complete = hosts.is_ok_and(|hosts| hosts.len() == size);
            if !complete || !caller::ready(client, address).await {
                return false;
            }
        }
        true
    };
    until(PATIENCE, listed)
        .await
        .ok_or("not all entries were listed in time")?;
    Ok(())
}

/// Kills both processes of a host, and starts them again when no entry names it any more.
async fn lose_host(
    cluster: &mut Cluster,
    client: &Client,
    victim: usize,
) -> Result<Duration, Error> {
    let name = format!("host-{victim:03}");
    let killed = agatemill_runtime::now();
    drop(cluster.entries[victim].take());
    drop(cluster.controls[victim].take());
    let gone = async || {
        for index in cluster.running() {
            let hosts = caller::entries(client, cluster.network.entry(index)).await;
            if !hosts.is_ok_and(|hosts| !hosts.contains(&name)) {
                return false;
            }
        }
        true
    };
    until(LIMIT, gone)
        .await
        .ok_or("a killed host was still named")?;
    let time = agatemill_runtime::now().saturating_sub(killed);
    cluster.controls[victim] = Some(cluster.start_control(victim)?);
    cluster.entries[victim] = Some(cluster.start_entry(victim)?);
    Ok(time)
}

/// What the streams of one kill saw.
struct Cut {
    killed: Duration,
    touched: Vec<Stream>,
    others: Vec<Stream>,
}

async fn lose_engine(
    cluster: &Cluster,
    client: &Client,
    engine: &mut Engine,
    options: &Options,
    repeat: usize,
) -> Result<Cut, Error> {
    let streams = (0..options.streams).map(|number| {
        let index = usize::try_from(number).unwrap_or(0) % options.size;
        let entry = cluster.network.entry(index);
        let seed = u64::try_from(repeat).unwrap_or(0) * options.streams + number;
        let (client, tokens) = (client.clone(), options.tokens);
        agatemill_runtime::spawn(async move { caller::stream(&client, entry, seed, tokens).await })
    });
    let streams: Vec<_> = streams.collect();
    agatemill_runtime::sleep(BEFORE_KILL).await;
    let killed = agatemill_runtime::now();
    let executions = engine.running.as_ref().map(engine::Engine::executions);
    let executions = executions.unwrap_or_default();
    drop(engine.running.take());
    let mut cut = Cut {
        killed,
        touched: Vec::new(),
        others: Vec::new(),
    };
    for stream in streams {
        let stream = stream.await?;
        let of_stream = executions
            .iter()
            .any(|execution| execution.session.as_str().starts_with(&stream.request));
        if of_stream {
            cut.touched.push(stream);
        } else {
            cut.others.push(stream);
        }
    }
    engine.start().await?;
    Ok(cut)
}

/// What the streams of all kills saw.
#[derive(Default)]
struct Found {
    /// Time from the kill to the next token of a stream that used the engine.
    next: Vec<Duration>,
    /// Longest gap after the kill in each of the other streams.
    others: Vec<Duration>,
    /// Longest gap before the kill in each stream.
    before: Vec<Duration>,
    broken: usize,
    ended: usize,
}

impl Found {
    fn add(&mut self, cut: &Cut) {
        for stream in cut.touched.iter().chain(&cut.others) {
            self.broken += usize::from(!stream.whole);
            let early = |token: &&Duration| **token < cut.killed;
            let tokens = stream.tokens.iter().filter(early).copied().collect();
            let early = Stream {
                tokens,
                ..Stream::default()
            };
            self.before.extend(early.longest_gap_after(Duration::ZERO));
        }
        for stream in &cut.touched {
            match stream.next_after(cut.killed) {
                Some(next) => self.next.push(next.saturating_sub(cut.killed)),
                None => self.ended += 1,
            }
        }
        let gaps = cut.others.iter();
        self.others
            .extend(gaps.filter_map(|stream| stream.longest_gap_after(cut.killed)));
    }

    fn report(&self, title: String) -> Report {
        let mut report = Report::new(title);
        report.add_times("touched streams, kill to next token", &self.next);
        report.add_times("other streams, longest gap after it", &self.others);
        report.add_times("all streams, longest gap before it", &self.before);
        report.add(
            "touched streams that had no token left",
            count(self.ended),
            "",
        );
        report.add("streams that broke off", count(self.broken), "");
        report
    }
}
