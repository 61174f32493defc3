//! Keeps requests on which engines crash away from the engines.

use core::net::SocketAddrV4;
use core::time::Duration;
use std::collections::HashSet;
use std::io;
use std::sync::Arc;

use smol::net::TcpStream;

use crate::State;
use crate::registration;
use agatemill_adapter::verdict;
use agatemill_fleet::path::Part;
use agatemill_fleet::prompt::Prompt;
use agatemill_fleet::prompt::Segment;
use agatemill_fleet::quarantine::Admission;
use agatemill_fleet::quarantine::verdict::Verdict;
use agatemill_fleet::tally::Key;
use agatemill_platform::Error;

/// Time after its first event for which a request must go on before its parts count as sound.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(200);

/// Timeout for a connection that shows whether a server has ended; one that has refuses it within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between looks at the verdicts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay per host rank before a host stores a verdict, so that usually one does.
const STORE_STAGGER: Duration = Duration::from_secs(1);

/// Hosts that store a verdict that others have not stored, by rank. A few are enough, and all of a large fleet would
/// overload the store.
const MAX_WRITERS: u32 = 5;

/// Time by which a stored verdict ends before the one in memory, so that the hosts do not store it again.
const STORE_MARGIN: Duration = Duration::from_mins(1);

/// Pause after a failed call to the store.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// A request that decides about suspected parts. Dropping it lets the next one be sent.
#[derive(Debug)]
pub struct Trial {
    state: Arc<State>,
    segments: Vec<Segment>,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.state.quarantine().end_trial(&self.segments);
    }
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another request of this host decides about a suspected part first.
    Busy,
    /// The part is condemned for some more time.
    Condemned(Segment, Duration),
}

/// Decides whether a request with this prompt may be sent.
///
/// # Errors
///
/// [`Denial`] when it may not.
pub fn admit(state: &Arc<State>, prompt: &Prompt) -> Result<Option<Trial>, Denial> {
    let admission = state.quarantine().admit(prompt, agatemill_runtime::now());
    match admission {
        Admission::Clear => Ok(None),
        Admission::Trial(segments) => Ok(Some(Trial {
            state: Arc::clone(state),
            segments,
        })),
        Admission::Busy => Err(Denial::Busy),
        Admission::Condemned(segment, left) => Err(Denial::Condemned(segment, left)),
    }
}

/// Records that a request with this prompt outlived its first event.
pub fn record_survival(state: &State, prompt: &Prompt) {
    let now = agatemill_runtime::now();
    if state.quarantine().record_survival(prompt, now) {
        state.announce();
    }
}

/// Records that a request ended before it survived, provided that its first engine has ended. Returns whether it has.
pub async fn record_loss(state: &State, attempt: &str, prompt: &Prompt, first: &Part) -> bool {
    if !has_ended(first.address).await {
        return false;
    }
    log::warn!(
        request = attempt, server:% = first.server, segments:? = prompt.shared, own:? = prompt.own;
        "quarantine: an engine crashed while it began to answer"
    );
    let now = agatemill_runtime::now();
    let server = Key::from(&first.server);
    if state.quarantine().record_crash(prompt, server, now) {
        state.announce();
    }
    true
}

/// Whether nothing listens at the address of a server. A server that is cut off or silent does not refuse connections.
async fn has_ended(address: SocketAddrV4) -> bool {
    let connect = TcpStream::connect(address);
    let result = agatemill_runtime::timeout(PROBE_TIMEOUT, connect).await;
    matches!(result, Some(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Logs changes of the verdicts, and stores them for processes that start later, until the process ends.
pub async fn run(state: Arc<State>) {
    let mut known = HashSet::new();
    loop {
        agatemill_runtime::sleep(POLL_INTERVAL).await;
        log_changes(&state, &mut known);
        let Some((segment, verdict)) = next_to_store(&state) else {
            continue;
        };
        if let Err(error) = store(&state, segment, &verdict).await {
            log::warn!(segment:%, error:%; "quarantine: cannot store a verdict");
            agatemill_runtime::sleep(STORE_RETRY_INTERVAL).await;
        }
    }
}

fn log_changes(state: &State, known: &mut HashSet<Segment>) {
    let quarantine = state.quarantine();
    for (segment, verdict) in quarantine.condemned() {
        if known.insert(segment) {
            let left = verdict.end().saturating_sub(agatemill_runtime::now());
            log::warn!(segment:%, partners:? = verdict.partners, for_s = left.as_secs(); "quarantine: part condemned");
            state.metrics.count_event("quarantine", "condemned");
        }
    }
    let current: HashSet<Segment> = quarantine.condemned().map(|(segment, _)| segment).collect();
    known.retain(|segment| {
        let is_condemned = current.contains(segment);
        if !is_condemned {
            log::info!(segment:%; "quarantine: part released");
            state.metrics.count_event("quarantine", "released");
        }
        is_condemned
    });
}

/// A verdict that the store lacks and that this host has to write.
fn next_to_store(state: &State) -> Option<(Segment, Verdict)> {
    let now = agatemill_runtime::now();
    let rank = registration::rank(state);
    if rank >= MAX_WRITERS {
        return None;
    }
    let delay = STORE_STAGGER * rank;
    let stored = state.view().verdicts.clone();
    let quarantine = state.quarantine();
    let mut missing = quarantine.condemned().filter(|(segment, verdict)| {
        !stored.contains(segment)
            && now >= verdict.since + delay
            && now + STORE_MARGIN < verdict.end()
    });
    let (segment, verdict) = missing.next()?;
    Some((segment, verdict.clone()))
}

async fn store(state: &State, segment: Segment, verdict: &Verdict) -> Result<(), Error> {
    let left = verdict.end().saturating_sub(agatemill_runtime::now());
    let lease = state.store.grant(left.saturating_sub(STORE_MARGIN)).await?;
    let value = verdict::encode(&verdict.partners);
    state
        .store
        .create(&verdict::key(segment), &value, lease)
        .await?;
    // The view may lag behind; without this, the verdict would be written again until it shows it.
    state.view().verdicts.insert(segment);
    Ok(())
}
