//! The failure detector on an in-memory network, in virtual time.

mod network;

use core::time::Duration;
use std::collections::BTreeSet;

use clap::Args;

use crate::control::Error;
use crate::control::detector::network::Accusation;
use crate::control::detector::network::Network;
use crate::control::process;
use crate::control::report::Report;
use crate::control::report::count;
use agatemill_membership::State;

/// Time before the measurement, in which the news of joining pass.
const WARM_UP: Duration = Duration::from_secs(15);

/// Time between two looks at all records.
const LOOK: Duration = Duration::from_millis(500);

/// Longest wait for a detection.
const LIMIT: Duration = Duration::from_mins(1);

/// What to measure.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Number of members.
    #[arg(long, default_value_t = 1_000)]
    pub members: usize,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Share of datagrams that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Milliseconds for which one member is paused at the start; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub pause: u64,
    /// Milliseconds between two new generations of the configuration, which every member reports; 0 for
    /// none.
    #[arg(long, default_value_t = 0)]
    pub change: u64,
    /// Members that are killed one after another to time their detection.
    #[arg(long, default_value_t = 5)]
    pub kills: usize,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Measures cost, false suspicions and detection.
///
/// # Errors
///
/// Any error of reading this process's figures.
pub fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let own = std::process::id();
    let members = count(options.members);
    let empty = process::memory(own)?;
    let mut network = Network::new(options.members, options.seed);
    network.run(WARM_UP);
    let filled = process::memory(own)?;
    network.loss = options.loss;
    network.change = options.change;
    let Options {
        loss, seed, change, ..
    } = options;
    let title = format!(
        "detector, {members} members, loss {loss}, pause {} ms, change every {change} ms, seed {seed}, {} s",
        options.pause, options.seconds
    );
    let mut report = Report::new(title);
    let (bytes, messages) = (network.bytes, network.messages);
    let processor = process::processor(own)?;
    let found = observe(&mut network, options);
    let used = process::processor(own)?.saturating_sub(processor);
    let virtual_seconds = found.seconds * members;
    let per_member = |value: u64| float(value) / virtual_seconds;
    report.add(
        "bytes sent",
        per_member(network.bytes - bytes),
        "B/s for each member",
    );
    report.add(
        "messages sent",
        per_member(network.messages - messages),
        "1/s for each member",
    );
    let share = used.as_secs_f64() / virtual_seconds * 100.0;
    report.add(
        "processor, with codec and network",
        share,
        "% of a core for each member",
    );
    let memory = (filled - empty) / members / 1e6;
    report.add("memory", memory, "MB for each member");
    let exchange = network.exchange_bytes()?;
    report.add("one direction of a full exchange", float(exchange), "B");
    report.add("false suspicions", count(found.suspicions.len()), "");
    report.add("false deaths", count(found.deaths.len()), "");
    add_detection(&mut report, &mut network, options);
    Ok(vec![report])
}

/// False accusations that were seen.
struct Found {
    seconds: f64,
    suspicions: BTreeSet<Accusation>,
    deaths: BTreeSet<Accusation>,
}

fn observe(network: &mut Network, options: &Options) -> Found {
    let mut found = Found {
        seconds: 0.0,
        suspicions: BTreeSet::new(),
        deaths: BTreeSet::new(),
    };
    if options.pause > 0 {
        network.pause(0, Duration::from_millis(options.pause));
    }
    let start = network.now;
    while network.now < start + Duration::from_secs(options.seconds) {
        network.run(LOOK);
        network.accusations(State::Suspect, &mut found.suspicions);
        network.accusations(State::Dead, &mut found.deaths);
    }
    found.seconds = network.now.saturating_sub(start).as_secs_f64();
    found
}

fn add_detection(report: &mut Report, network: &mut Network, options: &Options) {
    let mut suspected = Vec::new();
    let mut dead = Vec::new();
    for victim in 0..options.kills.min(options.members / 2) {
        let killed = network.now;
        network.kill(victim);
        let limit = killed + LIMIT;
        if network.until(limit, |network| {
            network.all_see(victim, |state| state != State::Alive)
        }) {
            suspected.push(network.now.saturating_sub(killed));
        }
        if network.until(limit, |network| {
            network.all_see(victim, |state| state == State::Dead)
        }) {
            dead.push(network.now.saturating_sub(killed));
        }
    }
    report.add_times("killed to suspected by all", &suspected);
    report.add_times("killed to dead for all", &dead);
}

fn float(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
