//! Replicates the platform's store into the view, directly or through another host.

mod probe;

use core::net::SocketAddrV4;
use core::time::Duration;
use std::io;
use std::sync::Arc;

use derive_more::Display;

use crate::State;
use crate::clock;
use crate::consult;
use crate::departure;
use crate::feed::remote::Remote;
use crate::sync::probe::Probe;
use agatemill_adapter::quarantine;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Changes;
use agatemill_adapter::store::Item;
use agatemill_core::id;
use agatemill_fleet::LogLimit;
use agatemill_fleet::Startup;
use agatemill_fleet::Upstream;
use agatemill_fleet::history::Cursor;
use agatemill_fleet::quarantine::entry::Entry;
use agatemill_fleet::upstream::Choice;
use agatemill_fleet::upstream::Source;
use agatemill_platform::Error;

/// Pause per host when all hosts query the store, which limits them to about a hundred calls a second during a
/// burst of changes, a small part of the store's capacity.
const BATCH_INTERVAL_PER_HOST: Duration = Duration::from_millis(10);

/// Base of the exponential backoff after failed calls.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Replicates the store until the process ends.
pub async fn run(state: Arc<State>) {
    let mut replicator = Replicator::default();
    loop {
        let started = clock::boot_time();
        let result = match replicator.cursor {
            None => load_snapshot(&state, &mut replicator).await,
            Some(after) => follow(&state, &mut replicator, after).await,
        };
        if let Err(error) = result {
            let pause = replicator.record_failure(&state, &error, started);
            agatemill_runtime::sleep(pause).await;
        }
    }
}

/// Replication state.
#[derive(Debug, Default)]
struct Replicator {
    /// State of the store that the view shows; `None` if a snapshot has to be read.
    cursor: Option<Cursor>,
    /// Failed calls since the last response.
    failures: u32,
    /// Selects the source of changes.
    upstream: Upstream,
    /// Source of the last response.
    source: Option<Source>,
    /// Connection to the host that was queried last.
    remote: Option<Remote>,
    /// Calls to the store while it may be lost.
    probe: Probe,
    /// Bounds the log lines of calls that fail while all sources have failed.
    failure_log: LogLimit,
}

impl Replicator {
    fn record_success(&mut self, state: &State, source: Source) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "store: updates resumed");
            // A host that could be followed had the store all along, so no entry expired in an outage.
            if source == Source::Store {
                state.view().start_deletion_grace(agatemill_runtime::now());
            }
            self.failures = 0;
        }
        state
            .gate
            .update(|startup| startup.record_response(agatemill_runtime::now()));
        self.upstream.record_answer(&source);
        if self.source.as_ref() != Some(&source) {
            match &source {
                Source::Store => log::info!("store: following the store directly"),
                Source::Host { host, .. } => {
                    log::info!(host:%; "store: following the store through another host");
                }
            }
            self.source = Some(source);
        }
    }

    /// Records a failure of the store and returns the backoff before the next call.
    fn record_failure(&mut self, state: &State, error: &Error, started: Duration) -> Duration {
        let ms = elapsed_ms(started);
        if self.failures == 0 {
            log::warn!(error:%, ms; "store: updates interrupted");
        } else if self.failure_log.admits(agatemill_runtime::now()) {
            log::info!(error:%, ms, failures = self.failures; "store: still interrupted");
        }
        state.metrics.count_event("store", "call_failed");
        state.feed.suspend();
        state.gate.update(Startup::record_failure);
        self.upstream
            .record_failure(&Source::Store, agatemill_runtime::now());
        self.failures = self.failures.saturating_add(1);
        let pause = MIN_BACKOFF * 2_u32.pow(self.failures.min(6));
        let pause = pause.min(state.settings().bounds.timing().max_backoff());
        let pause = pause.mul_f64(0.5 + fastrand::f64() / 2.0);
        // A call that took long needs no further pause.
        pause.saturating_sub(clock::boot_time().saturating_sub(started))
    }

    fn choose(&mut self, state: &State) -> Choice {
        let settings = state.settings();
        self.upstream.set_timing(settings.bounds.timing());
        let view = state.view();
        let now = agatemill_runtime::now();
        self.upstream
            .choose(&settings.host, &settings.zone, &view.members, now)
    }
}

/// Milliseconds since `started`, a time of the clock that keeps running during suspend.
fn elapsed_ms(started: Duration) -> u64 {
    let elapsed = clock::boot_time().saturating_sub(started);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Reads a snapshot of the whole store.
async fn load_snapshot(state: &State, replicator: &mut Replicator) -> Result<(), Error> {
    if replicator.failures > 0 {
        let interval = state.settings().bounds.timing().probe_interval();
        replicator.probe.run(&state.store, interval).await?;
        state
            .gate
            .update(|startup| startup.record_response(agatemill_runtime::now()));
    }
    let started = clock::boot_time();
    let snapshot = state.store.list().await?;
    let cursor = snapshot.cursor;
    log::info!(era:% = cursor.era, revision:% = cursor.revision, items = snapshot.items.len(); "store: loaded a snapshot");
    replicator.record_success(state, Source::Store);
    if adopt(state, replicator, snapshot.items, cursor) {
        consult::run(state).await;
    }
    confirm(state, started);
    Ok(())
}

/// Waits for changes at the selected source.
async fn follow(state: &State, replicator: &mut Replicator, after: Cursor) -> Result<(), Error> {
    let choice = replicator.choose(state);
    match choice.source {
        Source::Store => follow_store(state, replicator, after).await,
        Source::Host { host, address } => {
            follow_other(
                state,
                replicator,
                after,
                host,
                address,
                choice.is_last_resort,
            )
            .await;
            Ok(())
        }
    }
}

/// Waits for changes at another host, and records if it has none to give.
async fn follow_other(
    state: &State,
    replicator: &mut Replicator,
    after: Cursor,
    host: id::Host,
    address: SocketAddrV4,
    is_last_resort: bool,
) {
    let started = clock::boot_time();
    let source = Source::Host { host, address };
    let failure = match follow_host(state, replicator, after, &source, is_last_resort).await {
        Ok(()) => return,
        Err(failure) => failure,
    };
    let Source::Host { host, .. } = &source else {
        return;
    };
    let now = agatemill_runtime::now();
    if !is_last_resort || replicator.failure_log.admits(now) {
        log::warn!(
            host:%, reason:% = failure, ms = elapsed_ms(started), is_last_resort;
            "store: cannot follow the store through another host"
        );
    }
    state.metrics.count_event("store", "host_failed");
    match failure {
        Failure::Refused => replicator.upstream.record_refusal(host, now),
        Failure::NoResponse(_) => {
            replicator.remote = None;
            replicator.upstream.record_failure(&source, now);
        }
    }
}

/// Why another host cannot be followed.
#[derive(Debug, Display)]
enum Failure {
    /// It has lost the store, too.
    #[display("the host does not have the changes")]
    Refused,
    /// It gave no response.
    #[display("{_0}")]
    NoResponse(io::Error),
}

/// Waits for changes at the store.
async fn follow_store(
    state: &State,
    replicator: &mut Replicator,
    after: Cursor,
) -> Result<(), Error> {
    let timing = state.settings().bounds.timing();
    let is_connected = replicator.failures == 0 && replicator.source == Some(Source::Store);
    let is_followed = is_followed(state, &replicator.upstream);
    let wait = if is_connected {
        timing.watch_wait(is_followed)
    } else {
        let interval = timing.probe_interval();
        replicator.probe.run(&state.store, interval).await?;
        Duration::ZERO
    };
    let started = clock::boot_time();
    match watch(state, &mut replicator.probe, after, wait).await? {
        Changes::Compacted => {
            log::info!(after:%; "store: history compacted, loading a snapshot");
            // A compacted history says nothing about the current state.
            replicator.cursor = None;
        }
        Changes::Restored => {
            log::info!(after:%; "store: restored, loading a snapshot");
            replicator.cursor = None;
        }
        Changes::Since { changes, cursor } => {
            replicator.record_success(state, Source::Store);
            let is_quiet = changes.is_empty();
            append(state, replicator, changes, cursor.max(after));
            confirm(state, started);
            if !is_quiet {
                agatemill_runtime::sleep(batch_interval(state, is_followed)).await;
            }
        }
    }
    Ok(())
}

/// Watches the store. A watch whose response is overdue is repeated as soon as the store responds to another call: its
/// connection may carry nothing.
async fn watch(
    state: &State,
    probe: &mut Probe,
    after: Cursor,
    wait: Duration,
) -> Result<Changes, Error> {
    let timing = state.settings().bounds.timing();
    let restore = state.listen_for_restore();
    if after.era < state.store.era() {
        return Ok(Changes::Restored);
    }
    let restore = async {
        restore.await;
        Some(Ok(Changes::Restored))
    };
    let response = async { Some(state.store.watch(after, wait).await) };
    let response = smol::future::or(response, restore);
    let detection = async {
        agatemill_runtime::sleep(wait + timing.probe_interval()).await;
        while probe
            .run(&state.store, timing.probe_interval())
            .await
            .is_err()
        {
            agatemill_runtime::sleep(timing.max_backoff()).await;
        }
        None
    };
    match smol::future::or(response, detection).await {
        Some(response) => response,
        None => state.store.watch(after, Duration::ZERO).await,
    }
}

/// Waits for changes at another host. The last resort responds when it has the changes again, or at the end of the wait.
async fn follow_host(
    state: &State,
    replicator: &mut Replicator,
    after: Cursor,
    source: &Source,
    is_last_resort: bool,
) -> Result<(), Failure> {
    let Source::Host { address, .. } = source else {
        return Ok(());
    };
    let started = clock::boot_time();
    let remote = match replicator.remote.take() {
        Some(remote) if remote.address == *address => remote,
        _ => {
            let timing = state.settings().bounds.timing();
            let remote = Remote::open(*address, timing, &state.metrics).await;
            remote.map_err(Failure::NoResponse)?
        }
    };
    let result = remote
        .changes(after, state.store.era(), is_last_resort)
        .await;
    let batch = result.map_err(Failure::NoResponse)?;
    let Some(batch) = batch else {
        replicator.remote = Some(remote);
        return Err(Failure::Refused);
    };
    state.learn_era(batch.cursor.era);
    if batch.cursor.era < state.store.era() {
        // The store was restored while the host responded; the next call tells it.
        replicator.remote = Some(remote);
        return Ok(());
    }
    replicator.remote = Some(remote);
    if batch.is_whole && replicator.failures > 0 {
        // The other host may have been started after an outage in which entries expired.
        state.view().start_deletion_grace(agatemill_runtime::now());
    }
    replicator.record_success(state, source.clone());
    {
        let mut view = state.view();
        let age = view.freshness.age(clock::boot_time());
        view.follow_deletion_grace(batch.deletion_grace, age, agatemill_runtime::now());
    }
    if batch.is_whole {
        let items: Vec<Item> = batch
            .changes
            .into_iter()
            .filter_map(Change::into_item)
            .collect();
        log::info!(era:% = batch.cursor.era, revision:% = batch.cursor.revision, items = items.len(); "store: loaded a snapshot of another host");
        if adopt(state, replicator, items, batch.cursor) {
            consult::run(state).await;
        }
    } else {
        append(state, replicator, batch.changes, batch.cursor.max(after));
    }
    // The other host responded after this call started, with a view of that age.
    if let Some(confirmed) = started.checked_sub(batch.age) {
        confirm(state, confirmed);
    }
    Ok(())
}

/// Records that a call which began at `started` brought the view up to date.
fn confirm(state: &State, started: Duration) {
    state.view().confirm(started);
    if state.is_ready() {
        state.gate.update(Startup::complete);
    }
}

/// Whether other hosts of the zone follow this one.
fn is_followed(state: &State, upstream: &Upstream) -> bool {
    let settings = state.settings();
    let view = state.view();
    let zone = view.members.values();
    let hosts = zone.filter(|member| member.zone == settings.zone).count();
    let now = agatemill_runtime::now();
    hosts > 1 && upstream.is_leader(&settings.host, &settings.zone, &view.members, now)
}

/// Pause after a watch that returned changes.
fn batch_interval(state: &State, is_followed: bool) -> Duration {
    let hosts = u32::try_from(state.host_count()).unwrap_or(u32::MAX);
    let wanted = if is_followed {
        Duration::ZERO
    } else {
        BATCH_INTERVAL_PER_HOST.saturating_mul(hosts)
    };
    state.settings().bounds.timing().batch_interval(wanted)
}

/// Replaces the view by all items of the store at a state. Returns whether other hosts may know a newer configuration: these
/// are the first items of the process, or the store was restored.
fn adopt(state: &State, replicator: &mut Replicator, items: Vec<Item>, cursor: Cursor) -> bool {
    let now = agatemill_runtime::now();
    let former = state.feed.era();
    let is_restored = former.is_some_and(|era| era < cursor.era);
    let changes = state.feed.reset(items, cursor);
    replicator.cursor = Some(cursor);
    if !is_restored {
        state.view().era = cursor.era;
        apply(state, changes);
        return former.is_none();
    }
    let mut view = state.view();
    view.begin_era(cursor.era, now);
    for change in changes {
        view.apply_restored(change, now);
    }
    drop(view);
    finish(state, now);
    true
}

/// Applies the changes up to a state of the same era.
fn append(state: &State, replicator: &mut Replicator, changes: Vec<Change>, cursor: Cursor) {
    state.feed.extend(&changes, cursor);
    replicator.cursor = Some(cursor);
    apply(state, changes);
}

fn apply(state: &State, changes: Vec<Change>) {
    let now = agatemill_runtime::now();
    restore_entries(state, &changes, now);
    let mut view = state.view();
    for change in changes {
        view.apply(change, now);
    }
    drop(view);
    finish(state, now);
}

/// Updates what depends on the servers and hosts of the view.
fn finish(state: &State, now: Duration) {
    departure::record_listed(state);
    departure::retain_listed(state, now);
    state.count_hosts();
}

/// Quarantines the parts of prompts that another process has quarantined.
fn restore_entries(state: &State, changes: &[Change], now: Duration) {
    for change in changes {
        if let Change::Put(item) = change
            && let Ok((segment, partners)) = quarantine::decode(&item.key, &item.value)
        {
            let entry = Entry::new(segment, &partners, now);
            state.quarantine().insert(segment, entry, now);
        }
    }
}
