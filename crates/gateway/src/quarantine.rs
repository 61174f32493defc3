//! Keeps requests on which engines crash away from the engines.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::State;
use crate::registration;
use agatemill_adapter::quarantine as stored;
use agatemill_fleet::path::Part;
use agatemill_fleet::prompt::Prompt;
use agatemill_fleet::prompt::Segment;
use agatemill_fleet::prompt::Summary;
use agatemill_fleet::quarantine::Admission;
use agatemill_fleet::quarantine::group::Group;
use agatemill_fleet::tally::Key;
use agatemill_platform::Error;

/// Time after its first event for which a request must go on before its parts count as healthy.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(200);

/// Interval between looks at the quarantined parts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay per host rank before a host stores a quarantined part, so that usually one does.
const STORE_STAGGER: Duration = Duration::from_secs(1);

/// Hosts that store a part that others have not stored, by rank. A few are enough, and all of a large fleet would
/// overload the store.
const MAX_WRITERS: u32 = 5;

/// Time by which a stored entry ends before the one in memory, so that the hosts do not store it again.
const STORE_MARGIN: Duration = Duration::from_mins(1);

/// Pause after a failed call to the store.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// A request that decides about suspected parts. Dropping it lets the next one be sent.
#[derive(Debug)]
pub struct Probe {
    state: Arc<State>,
    segments: Vec<Segment>,
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.state.quarantine().end_probe(&self.segments);
    }
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another request of this host decides about a suspected part first.
    Busy,
    /// The part is quarantined for some more time.
    Quarantined(Segment, Duration),
}

/// Decides whether a request with this prompt may be sent.
///
/// # Errors
///
/// [`Denial`] when it may not.
pub fn admit(state: &Arc<State>, prompt: &Prompt) -> Result<Option<Probe>, Denial> {
    let admission = state.quarantine().admit(prompt, agatemill_runtime::now());
    match admission {
        Admission::Clear => Ok(None),
        Admission::Probe(segments) => Ok(Some(Probe {
            state: Arc::clone(state),
            segments,
        })),
        Admission::Busy => Err(Denial::Busy),
        Admission::Quarantined(segment, left) => Err(Denial::Quarantined(segment, left)),
    }
}

/// Records that a request with this prompt outlived its first event.
pub fn record_survival(state: &State, prompt: &Prompt) {
    let now = agatemill_runtime::now();
    if state.quarantine().record_survival(prompt, now) {
        state.announce();
    }
}

/// Records that the first engine of a request ended before the request survived.
pub fn record_crash(state: &State, attempt: &str, prompt: &Prompt, first: &Part) {
    log::warn!(
        request = attempt, server:% = first.server, segments:% = prompt.summary(), own:? = prompt.own;
        "quarantine: an engine crashed while it began to answer"
    );
    let now = agatemill_runtime::now();
    let server = Key::from(&first.server);
    if state.quarantine().record_crash(prompt, server, now) {
        state.announce();
    }
}

/// Logs which parts are quarantined, and stores them for processes that start later, until the process ends.
pub async fn run(state: Arc<State>) {
    let mut known = HashSet::new();
    let mut missing = HashMap::new();
    loop {
        agatemill_runtime::sleep(POLL_INTERVAL).await;
        log_changes(&state, &mut known);
        let Some(group) = next_to_store(&state, &mut missing) else {
            continue;
        };
        if let Err(error) = store(&state, &group).await {
            log::warn!(segment:% = group.segment, error:%; "quarantine: cannot store a part");
            agatemill_runtime::sleep(STORE_RETRY_INTERVAL).await;
        }
    }
}

fn log_changes(state: &State, known: &mut HashSet<Segment>) {
    let now = agatemill_runtime::now();
    let groups = state.quarantine().groups(now);
    for group in &groups {
        let segment = group.segment;
        if known.insert(segment) {
            let left = group.end().saturating_sub(now);
            log::warn!(segment:%, partners:% = Summary(&group.partners), for_s = left.as_secs(); "quarantine: part quarantined");
            state.metrics.count_event("quarantine", "quarantined");
        }
    }
    let current: HashSet<Segment> = groups.iter().map(|group| group.segment).collect();
    known.retain(|segment| {
        let is_quarantined = current.contains(segment);
        if !is_quarantined {
            log::info!(segment:%; "quarantine: part released");
            state.metrics.count_event("quarantine", "released");
        }
        is_quarantined
    });
}

/// Quarantined parts that this host has to write: the store lacks them, or has more parts that may be the cause instead.
/// `missing` has the times since when this host knows that; a store that was restored lacks parts that all hosts know.
fn next_to_store(state: &State, missing: &mut HashMap<Segment, Duration>) -> Option<Group> {
    let now = agatemill_runtime::now();
    let rank = registration::rank(state);
    if rank >= MAX_WRITERS {
        return None;
    }
    let delay = STORE_STAGGER * (rank + 1);
    let stored = state.view().quarantined.clone();
    let mut unstored = state.quarantine().groups(now);
    unstored.retain(|group| {
        let is_stored = stored
            .get(&group.segment)
            .is_some_and(|partners| partners.len() <= group.partners.len());
        !is_stored && now + STORE_MARGIN < group.end()
    });
    missing.retain(|segment, _| unstored.iter().any(|group| group.segment == *segment));
    let mut due = unstored
        .into_iter()
        .filter(|group| now >= *missing.entry(group.segment).or_insert(now) + delay);
    due.next()
}

async fn store(state: &State, group: &Group) -> Result<(), Error> {
    let left = group.end().saturating_sub(agatemill_runtime::now());
    let lease = state.store.grant(left.saturating_sub(STORE_MARGIN)).await?;
    let value = stored::encode(&group.partners);
    state
        .store
        .put(&stored::key(group.segment), &value, lease)
        .await?;
    // The view may lag behind; without this, the entry would be written again until it shows it.
    let partners = group.partners.clone();
    state.view().quarantined.insert(group.segment, partners);
    Ok(())
}
