//! Use of the platform's key-value service. Nothing else waits for it.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use crate::configuration::Outcome;
use crate::hosts;
use crate::planner;
use crate::shared::Shared;
use crate::spread;
use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Error;

mod members;

/// Looks at the list of hosts of which one reads the list itself. After a loss of data, the service may
/// give the revision that was seen to another list.
const LOOKS_PER_READ: usize = 20;

/// A configuration of the platform that this control holds.
struct Seen {
    revision: Revision,
    generation: Generation,
}

/// Starts the tasks that use the platform, if it is in the settings.
pub(crate) fn start(shared: &Arc<Shared>) {
    if shared.settings.platform.is_empty() {
        return;
    }
    let client = client(shared);
    let tasks = &shared.tasks;
    let leasing = &shared.leasing;
    leasing.spawn(members::keep(Arc::clone(shared), client.clone()));
    tasks.spawn(follow_configuration(Arc::clone(shared), client.clone()));
    tasks.spawn(read_hosts(Arc::clone(shared), client.clone()));
    leasing.spawn(planner::run(Arc::clone(shared), client));
}

/// Ends planning and the entry of this host, and revokes their leases, so that another planner need not wait
/// for them to lapse.
pub(crate) async fn leave(shared: &Shared) {
    if shared.settings.platform.is_empty() {
        return;
    }
    // A task that is being polled on another thread ends at its next wait; a lease that it takes until then
    // lapses.
    shared.leasing.close();
    shared.planner.store(false, Ordering::Relaxed);
    shared.leases.revoke_all(&client(shared)).await;
}

fn client(shared: &Shared) -> Client {
    let timeout = shared.settings.timings.platform_timeout.to_duration();
    Client::new(&shared.settings.platform, timeout)
}

/// Reads the list of hosts now and then while this host is one of its zone's watchers. The other members
/// learn the leaving hosts from them.
async fn read_hosts(shared: Arc<Shared>, client: Client) {
    let interval = shared.settings.timings.confirm_interval.to_duration();
    loop {
        let mut seen = None;
        for _ in 0..LOOKS_PER_READ {
            if shared.is_watcher()
                && let Err(error) = read_changed_hosts(&shared, &client, &mut seen).await
            {
                log::debug!(error:%; "platform: cannot read the list of hosts");
            }
            agatemill_runtime::sleep(interval).await;
        }
    }
}

/// Reads the list of hosts unless its revision is the one `seen`.
async fn read_changed_hosts(
    shared: &Shared,
    client: &Client,
    seen: &mut Option<Revision>,
) -> Result<(), Error> {
    if seen.is_some() && client.revision(hosts::KEY).await? == *seen {
        return Ok(());
    }
    if let Some(entry) = client.get(hosts::KEY).await? {
        take_hosts(shared, &entry);
        *seen = Some(entry.revision);
    }
    Ok(())
}

fn take_hosts(shared: &Shared, entry: &Entry) {
    let leaving = match hosts::parse(entry.revision, &entry.value) {
        Ok(leaving) => leaving,
        Err(error) => {
            log::error!(error:%; "platform: malformed list of hosts");
            return;
        }
    };
    let revision = leaving.revision;
    if shared.hosts.offer(leaving) == hosts::Outcome::Older {
        log::warn!(revision, held = shared.hosts.revision();
            "platform: the list of hosts has a lower revision, the newer one is kept");
    }
}

/// Watches the configuration key while this host is one of its zone's watchers or holds no configuration.
async fn follow_configuration(shared: Arc<Shared>, client: Client) {
    let interval = shared.settings.timings.confirm_interval.to_duration();
    loop {
        let needed = shared.is_watcher() || shared.configuration.generation().0 == 0;
        if needed && let Err(error) = watch(&shared, &client).await {
            log::warn!(error:%; "platform: cannot follow the configuration");
        }
        agatemill_runtime::sleep(interval / 10).await;
    }
}

/// Reads the key, and again after each change or after `confirm_interval`, for as long as the watch
/// lasts and this host is chosen.
///
/// A read without a change asks for the revision only: with the document, each watcher would receive its
/// size every `confirm_interval`. What was seen ends with the watch, because a service that lost data ends
/// its watches and may give the same revision to another document.
async fn watch(shared: &Arc<Shared>, client: &Client) -> Result<(), Error> {
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    let interval = shared.settings.timings.confirm_interval.to_duration();
    read(shared, client, &key).await?;
    let mut watch = client.watch(&key, Revision(0)).await?;
    let mut seen = None;
    loop {
        // The read after the opening of the watch finds a change that came before it.
        if !confirm(shared, client, &key, seen.as_ref()).await? {
            seen = read(shared, client, &key).await?;
        }
        let change = agatemill_runtime::timeout(interval, watch.next()).await;
        change.transpose()?;
        if !shared.is_watcher() {
            return Ok(());
        }
    }
}

/// Confirms what was seen if the key still has its revision.
async fn confirm(
    shared: &Shared,
    client: &Client,
    key: &str,
    seen: Option<&Seen>,
) -> Result<bool, Error> {
    let Some(seen) = seen else {
        return Ok(false);
    };
    let at = agatemill_runtime::now();
    if client.revision(key).await? != Some(seen.revision) {
        return Ok(false);
    }
    shared.configuration.confirm(seen.generation, at);
    Ok(true)
}

/// Reads the key and offers its configuration; gives what the platform has if this control now holds it.
async fn read(shared: &Arc<Shared>, client: &Client, key: &str) -> Result<Option<Seen>, Error> {
    // Taken before the read: the answer may describe any moment between its start and its end.
    let at = agatemill_runtime::now();
    let Some(entry) = client.get(key).await? else {
        return Ok(None);
    };
    let envelope: Envelope = serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let generation = envelope.generation;
    let sound = Envelope::new(
        generation,
        envelope.write.clone(),
        envelope.author.clone(),
        envelope.text.clone(),
    );
    if sound != envelope {
        return Err(Error::Malformed(
            "the document does not match its digest".to_owned(),
        ));
    }
    match spread::offer(shared, envelope) {
        Outcome::Accepted | Outcome::Known => {
            shared.configuration.confirm(generation, at);
            return Ok(Some(Seen {
                revision: entry.revision,
                generation,
            }));
        }
        Outcome::Older => shared.configuration.record_rollback(generation),
        Outcome::Conflicting | Outcome::Invalid(_) => {}
    }
    Ok(None)
}
