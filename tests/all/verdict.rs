//! Checks of responses, and of what the stand-ins executed.

use std::collections::BTreeMap;

use crate::caller::Response;
use crate::plan::MODEL;
use crate::world::Cluster;
use agatemill_fake::model;
use agatemill_fake::platform::counts::Counts;

/// Writes per second that the platform accepts; the requirements say "several hundred".
const MAX_WRITES_PER_SECOND: u64 = 300;
/// Reads per second that the platform accepts.
const MAX_READS_PER_SECOND: u64 = 2_000;

/// The prompt in the form that the engines receive.
fn engine_prompt(content: &str) -> String {
    format!("user: {content}\nassistant: ")
}

/// Compares the response to a chat with the output that the stand-in model gives for this prompt.
pub fn check_chat(cluster: &Cluster, content: &str, response: &Response) -> String {
    if response.status != 200 {
        return response.summary();
    }
    let tokens = model::expected(
        MODEL,
        cluster.plan.layers(),
        &engine_prompt(content),
        usize::MAX,
    );
    let text: String = tokens.iter().map(|(_, text)| text.as_str()).collect();
    // The header of a stream is sent before its outcome is known; the end of the stream gives the outcome.
    let mut words = vec![response.status.to_string()];
    if !response.reason.is_empty() {
        words.push(response.reason.clone());
    }
    words.push(match (response.body == text, response.finished) {
        (true, true) => "whole".to_owned(),
        (true, false) => "whole but without its end marker".to_owned(),
        _ if text.starts_with(&response.body) => "cut".to_owned(),
        _ => format!("WRONG: {:?} instead of {text:?}", response.body),
    });
    words.join(" ")
}

/// Checks that each engine processed every position of a session exactly once and in order, for each range of layers.
pub fn check_layers(cluster: &Cluster) -> String {
    let mut sessions = 0;
    for engine in &cluster.plan.engines {
        let Some(executions) = cluster.executions(&engine.name) else {
            continue;
        };
        let mut next: BTreeMap<(String, String), u64> = BTreeMap::new();
        for execution in &executions {
            let key = (
                execution["session"].to_string(),
                execution["layers"].to_string(),
            );
            let position = execution["position"].as_u64().expect("a position");
            let count = execution["count"].as_u64().expect("a count");
            let expected = next.entry(key.clone()).or_default();
            if position != *expected {
                return format!(
                    "{} ran {key:?} position {position} instead of {expected}",
                    engine.name
                );
            }
            *expected += count;
        }
        sessions += next.len();
    }
    if sessions == 0 {
        "nothing ran".to_owned()
    } else {
        "each layer ran once for each token, in order".to_owned()
    }
}

/// Number of executions of each idempotency key, summed over the servers of the service that still answer.
pub fn count_calls(cluster: &Cluster) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for server in &cluster.plan.servers {
        for execution in cluster.executions(&server.name).unwrap_or_default() {
            let key = execution["key"]
                .as_str()
                .unwrap_or("without key")
                .to_owned();
            *counts.entry(key).or_default() += 1;
        }
    }
    let lines: Vec<String> = counts
        .iter()
        .map(|(key, count)| format!("{key}: {count}"))
        .collect();
    if lines.is_empty() {
        "none".to_owned()
    } else {
        lines.join("\n")
    }
}

/// Checks that the calls to the platform stayed below its limits in every second since it started. Calls that change
/// leases count as writes, watches as reads.
pub fn check_load(cluster: &Cluster) -> String {
    let response = Cluster::caller(0).get(cluster.fake_address("platform"), "/fake/counts");
    let counts: Counts = serde_json::from_str(&response.body).expect("the platform's counts");
    let writes = counts.writes.peak + counts.leases.peak;
    let reads = counts.reads.peak + counts.watches.peak;
    match (
        counts.writes.total,
        writes < MAX_WRITES_PER_SECOND,
        reads < MAX_READS_PER_SECOND,
    ) {
        (0, _, _) => "nothing was written".to_owned(),
        (_, true, true) => "within the platform's limits".to_owned(),
        (_, false, _) => "too many writes in a second".to_owned(),
        (_, true, false) => "too many reads in a second".to_owned(),
    }
}
