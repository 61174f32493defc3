//! The failure detector on an in-memory network, in virtual time.

mod network;

use core::time::Duration;
use std::collections::BTreeSet;

use clap::Args;

use crate::control::Error;
use crate::control::detector::network::FalsePositive;
use crate::control::detector::network::Network;
use crate::control::process;
use crate::control::report::Report;
use crate::control::report::usize_to_f64;
use agatemill_membership::State;

/// Time before the measurement in which the gossip about joining passes.
const WARM_UP: Duration = Duration::from_secs(15);

/// Interval at which the records of all members are inspected.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a detection.
const DETECTION_TIMEOUT: Duration = Duration::from_mins(1);

/// Options of the measurement.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Number of members.
    #[arg(long, default_value_t = 1_000)]
    pub members: usize,
    /// Virtual time of the measurement, in seconds.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Fraction of the datagrams that are lost.
    #[arg(long, default_value_t = 0.0)]
    pub loss: f64,
    /// Pause of one member at the start, in milliseconds; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub pause: u64,
    /// Interval between two changes of the configuration, in milliseconds, each of which changes the profile
    /// of every member; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub change: u64,
    /// Number of members that are killed one after another to measure the time of their detection.
    #[arg(long, default_value_t = 5)]
    pub kills: usize,
    /// Seed of the network and of the members.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Measures cost, false positives and detection times.
///
/// # Errors
///
/// Any error of reading the resource usage of this process.
pub fn run(options: &Options) -> Result<Vec<Report>, Error> {
    let own = std::process::id();
    let members = usize_to_f64(options.members);
    let memory_before = process::resident_memory(own)?;
    let mut network = Network::new(options.members, options.seed);
    network.run(WARM_UP);
    let memory_after = process::resident_memory(own)?;
    network.loss = options.loss;
    network.change_interval_ms = options.change;
    let Options {
        loss, seed, change, ..
    } = options;
    let title = format!(
        "detector, {members} members, loss {loss}, pause {} ms, change every {change} ms, seed {seed}, {} s",
        options.pause, options.seconds
    );
    let mut report = Report::new(title);
    let (sent_bytes, sent_messages) = (network.sent_bytes, network.sent_messages);
    let cpu_time = process::cpu_time(own)?;
    let observation = observe(&mut network, options);
    let used_cpu = process::cpu_time(own)?.saturating_sub(cpu_time);
    let virtual_seconds = observation.seconds * members;
    let per_member = |value: u64| u64_to_f64(value) / virtual_seconds;
    report.add(
        "bytes sent",
        per_member(network.sent_bytes - sent_bytes),
        "B/s for each member",
    );
    report.add(
        "messages sent",
        per_member(network.sent_messages - sent_messages),
        "1/s for each member",
    );
    let share = used_cpu.as_secs_f64() / virtual_seconds * 100.0;
    report.add(
        "processor, with codec and network",
        share,
        "% of a core for each member",
    );
    let memory = (memory_after - memory_before) / members / 1e6;
    report.add("memory", memory, "MB for each member");
    let exchange = network.exchange_bytes()?;
    report.add(
        "one direction of a full exchange",
        u64_to_f64(exchange),
        "B",
    );
    report.add(
        "false suspicions",
        usize_to_f64(observation.suspicions.len()),
        "",
    );
    report.add("false deaths", usize_to_f64(observation.deaths.len()), "");
    add_detection(&mut report, &mut network, options);
    Ok(vec![report])
}

/// False positives that were observed, and the virtual time of the observation.
struct Observation {
    seconds: f64,
    suspicions: BTreeSet<FalsePositive>,
    deaths: BTreeSet<FalsePositive>,
}

fn observe(network: &mut Network, options: &Options) -> Observation {
    let mut observation = Observation {
        seconds: 0.0,
        suspicions: BTreeSet::new(),
        deaths: BTreeSet::new(),
    };
    if options.pause > 0 {
        network.pause(0, Duration::from_millis(options.pause));
    }
    let start = network.now;
    while network.now < start + Duration::from_secs(options.seconds) {
        network.run(OBSERVATION_INTERVAL);
        network.collect_false_positives(State::Suspect, &mut observation.suspicions);
        network.collect_false_positives(State::Dead, &mut observation.deaths);
    }
    observation.seconds = network.now.saturating_sub(start).as_secs_f64();
    observation
}

fn add_detection(report: &mut Report, network: &mut Network, options: &Options) {
    let mut suspected = Vec::new();
    let mut dead = Vec::new();
    for victim in 0..options.kills.min(options.members / 2) {
        let killed = network.now;
        network.kill(victim);
        let limit = killed + DETECTION_TIMEOUT;
        if network.run_until(limit, |network| {
            network.is_seen_by_all(victim, |state| state != State::Alive)
        }) {
            suspected.push(network.now.saturating_sub(killed));
        }
        if network.run_until(limit, |network| {
            network.is_seen_by_all(victim, |state| state == State::Dead)
        }) {
            dead.push(network.now.saturating_sub(killed));
        }
    }
    report.add_times("killed to suspected by all", &suspected);
    report.add_times("killed to dead for all", &dead);
}

/// Converts an integer to a float; values above `u32::MAX` saturate.
fn u64_to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
