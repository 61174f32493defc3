//! Follows the platform's store, directly or through another host.

use core::time::Duration;
use std::sync::Arc;

use crate::State;
use crate::clock;
use crate::feed::remote::Remote;
use agatemill_adapter::store::Change;
use agatemill_adapter::store::Changes;
use agatemill_core::number::Revision;
use agatemill_fleet::Upstream;
use agatemill_fleet::upstream::Choice;
use agatemill_fleet::upstream::Source;
use agatemill_platform::Error;

/// How long a watch waits for changes. Each answer also proves that the view is up to date, which requests
/// with keys need within the time in which a key is taken away; each call is priced.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How long the watch of a host that others follow waits: they leave a host that has heard nothing for some
/// time, so that they take a change in time when only that host is cut off.
const FOLLOWED_WATCH_WAIT: Duration = Duration::from_millis(700);

/// How long another host may wait for changes: an answer also proves that it lives.
const FEED_WAIT: Duration = Duration::from_millis(500);

/// Shortest pause after a watch that brought changes. Changes come in series, and each answered watch is a
/// priced call.
const MIN_CHANGES_PAUSE: Duration = Duration::from_millis(350);

/// Longest pause after a watch that brought changes: less than half of the two seconds within which a change
/// is to be in force.
const MAX_CHANGES_PAUSE: Duration = Duration::from_millis(900);

/// Pause for each host when all have to ask the store, so that they make about a hundred calls a second in a
/// series of changes, a small part of what the store serves.
const HOST_CHANGES_PAUSE: Duration = Duration::from_millis(10);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after failed calls: short against the time within which a change is in force.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Follows the store until the process ends.
pub async fn run(state: Arc<State>) {
    let mut link = Link::default();
    loop {
        let result = match link.revision {
            None => load(&state, &mut link).await,
            Some(after) => follow(&state, &mut link, after).await,
        };
        if let Err(error) = result {
            let pause = link.failed(&state, &error);
            agatemill_runtime::sleep(pause).await;
        }
    }
}

/// The way to the store as this process sees it.
#[derive(Debug, Default)]
struct Link {
    /// Revision up to which the view is known; `None` when everything has to be read.
    revision: Option<Revision>,
    /// Revision up to which the view was known before the store dropped its history.
    before: Option<Revision>,
    /// Calls that failed since the last answer.
    failures: u32,
    /// Chooses whom to ask.
    upstream: Upstream,
    /// Who answered last.
    source: Option<Source>,
    /// Connection to the host that was asked last.
    remote: Option<Remote>,
}

impl Link {
    fn answered(&mut self, state: &State, source: Source) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "store: regained");
            // A host that could be followed had the store all the while: no entry has ended with an outage.
            if source == Source::Store {
                state.view().returned(agatemill_runtime::now());
            }
            self.failures = 0;
        }
        self.upstream.answered(&source);
        if self.source.as_ref() != Some(&source) {
            match &source {
                Source::Store => log::info!("store: this host asks it"),
                Source::Host { host, .. } => log::info!(host:%; "store: followed through a host"),
            }
            self.source = Some(source);
        }
    }

    /// Notes a failure of the store; returns how long to wait before the next call.
    fn failed(&mut self, state: &State, error: &Error) -> Duration {
        if self.failures == 0 {
            log::warn!(error:%; "store: lost");
        }
        state.metrics.count_event("store", "call_failed");
        state.feed.lose();
        self.upstream
            .failed(&Source::Store, agatemill_runtime::now());
        self.failures = self.failures.saturating_add(1);
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(6));
        pause.min(MAX_PAUSE).mul_f64(0.5 + fastrand::f64() / 2.0)
    }

    fn choose(&self, state: &State) -> Choice {
        let settings = state.settings();
        let view = state.view();
        let now = agatemill_runtime::now();
        self.upstream
            .choose(&settings.host, &settings.zone, &view.members, now)
    }
}

/// Reads everything.
async fn load(state: &State, link: &mut Link) -> Result<(), Error> {
    let started = clock::boot_time();
    let snapshot = state.store.list().await?;
    let revision = snapshot.revision;
    log::info!(revision:%, items = snapshot.items.len(); "store: read");
    link.answered(state, Source::Store);
    let changes = state.view().changes_to(snapshot);
    if let Some(after) = link.before.take().filter(|after| *after <= revision) {
        // The hosts that follow go on without reading everything themselves.
        apply(state, link, after, changes, revision);
    } else {
        // The first reading, or that of a store that has lost its newest revisions.
        state.feed.reset(revision);
        apply(state, link, revision, changes, revision);
    }
    state.view().freshness.confirm(started);
    Ok(())
}

/// Waits for changes.
async fn follow(state: &State, link: &mut Link, after: Revision) -> Result<(), Error> {
    let choice = link.choose(state);
    match choice.source {
        Source::Store => watch(state, link, after).await,
        source @ Source::Host { .. } => {
            if choice.is_last_resort {
                agatemill_runtime::sleep(MAX_PAUSE.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
            }
            if let Err(reason) = listen(state, link, after, &source).await {
                if let (Source::Host { host, .. }, false) = (&source, choice.is_last_resort) {
                    log::warn!(host:%, reason; "store: not followed through a host");
                }
                state.metrics.count_event("store", "host_failed");
                link.remote = None;
                link.upstream.failed(&source, agatemill_runtime::now());
            }
            Ok(())
        }
    }
}

/// Waits for changes at the store.
async fn watch(state: &State, link: &mut Link, after: Revision) -> Result<(), Error> {
    let started = clock::boot_time();
    let wait = if is_followed(state) {
        FOLLOWED_WATCH_WAIT
    } else {
        WATCH_WAIT
    };
    match state.store.watch(after, wait).await? {
        Changes::Compacted => {
            log::info!(after:%; "store: history dropped, reading everything");
            // A history that was dropped says nothing about the state now.
            link.before = link.revision.take();
        }
        Changes::Since { changes, revision } => {
            link.answered(state, Source::Store);
            let is_quiet = changes.is_empty();
            apply(state, link, after, changes, revision);
            state.view().freshness.confirm(started);
            if !is_quiet {
                agatemill_runtime::sleep(changes_pause(state)).await;
            }
        }
    }
    Ok(())
}

/// Waits for changes at another host.
///
/// # Errors
///
/// The reason why that host cannot be followed.
async fn listen(
    state: &State,
    link: &mut Link,
    after: Revision,
    source: &Source,
) -> Result<(), String> {
    let Source::Host { address, .. } = source else {
        return Ok(());
    };
    let started = clock::boot_time();
    let remote = match link.remote.take() {
        Some(remote) if remote.address == *address => remote,
        _ => Remote::open(*address)
            .await
            .map_err(|error| error.to_string())?,
    };
    let answer = remote.changes(after, FEED_WAIT).await;
    let batch = answer.map_err(|error| error.to_string())?;
    let batch = batch.ok_or("it does not know the changes")?;
    link.remote = Some(remote);
    link.answered(state, source.clone());
    state
        .view()
        .lenient_for(batch.leniency, agatemill_runtime::now());
    apply(state, link, after, batch.changes, batch.revision);
    // The other host answered after this call began, with a view of that age.
    if let Some(confirmed) = started.checked_sub(batch.age) {
        state.view().freshness.confirm(confirmed);
    }
    Ok(())
}

/// Whether other hosts of the zone follow this one.
fn is_followed(state: &State) -> bool {
    let settings = state.settings();
    let view = state.view();
    let first = agatemill_fleet::member::zone_leader(&view.members, &settings.zone);
    let zone = view.members.values();
    let hosts = zone.filter(|member| member.zone == settings.zone).count();
    hosts > 1 && first.is_some_and(|first| first.host == settings.host)
}

/// Pause after a watch that brought changes.
fn changes_pause(state: &State) -> Duration {
    if is_followed(state) {
        return MIN_CHANGES_PAUSE;
    }
    let hosts = u32::try_from(state.hosts()).unwrap_or(u32::MAX);
    let pause = HOST_CHANGES_PAUSE.saturating_mul(hosts);
    pause.clamp(MIN_CHANGES_PAUSE, MAX_CHANGES_PAUSE)
}

fn apply(
    state: &State,
    link: &mut Link,
    after: Revision,
    changes: Vec<Change>,
    revision: Revision,
) {
    let revision = revision.max(after);
    state.feed.extend(after, &changes, revision);
    link.revision = Some(revision);
    let now = agatemill_runtime::now();
    let mut view = state.view();
    for change in changes {
        view.apply(change, now);
    }
}
