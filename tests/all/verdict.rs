//! Verdicts on what the fakes executed.

use std::collections::BTreeMap;

use crate::caller::Answer;
use crate::plan::MODEL;
use crate::world::World;
use agatemill_fake::model;
use agatemill_fake::platform::counts::Counts;

/// Writes a second that the platform takes; "several hundred" in the requirements.
const MAX_WRITES: u64 = 300;
/// Reads a second that the platform takes.
const MAX_READS: u64 = 2_000;

/// The prompt as engines see it.
fn prompt(content: &str) -> String {
    format!("user: {content}\nassistant: ")
}

/// Compares an answer with the only right one.
pub fn chat(world: &World, content: &str, answer: &Answer) -> String {
    if answer.status != 200 {
        return answer.summary();
    }
    let tokens = model::expected(MODEL, world.plan.layers(), &prompt(content), usize::MAX);
    let text: String = tokens.iter().map(|(_, text)| text.as_str()).collect();
    // The head of a stream cannot say its outcome yet; its end does.
    let mut words = vec![answer.status.to_string()];
    if !answer.reason.is_empty() {
        words.push(answer.reason.clone());
    }
    words.push(match (answer.body == text, answer.finished) {
        (true, true) => "whole".to_owned(),
        (true, false) => "whole but without its end".to_owned(),
        _ if text.starts_with(&answer.body) => "cut".to_owned(),
        _ => format!("WRONG: {:?} instead of {text:?}", answer.body),
    });
    words.join(" ")
}

/// Checks that in each session each layer range ran each position exactly once and in order.
pub fn layers(world: &World) -> String {
    let mut sessions = 0;
    for engine in &world.plan.engines {
        let Some(executions) = world.executions(&engine.name) else {
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

/// How often each idempotency key was executed by the servers of the service, whoever still answers.
pub fn calls(world: &World) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for server in &world.plan.servers {
        for execution in world.executions(&server.name).unwrap_or_default() {
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

/// Whether the platform's calls stayed below its limits in every second since its start. Calls that change leases
/// count as writes, watches as reads.
pub fn load(world: &World) -> String {
    let answer = World::caller(0).get(world.fake("platform"), "/fake/counts");
    let counts: Counts = serde_json::from_str(&answer.body).expect("the platform's counts");
    let writes = counts.writes.peak + counts.leases.peak;
    let reads = counts.reads.peak + counts.watches.peak;
    match (counts.writes.total, writes < MAX_WRITES, reads < MAX_READS) {
        (0, _, _) => "nothing was written".to_owned(),
        (_, true, true) => "within the platform's limits".to_owned(),
        (_, false, _) => "too many writes in a second".to_owned(),
        (_, true, false) => "too many reads in a second".to_owned(),
    }
}
