//! Tasks that use the key-value service of the platform. No other part of the control waits for it.

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

/// Checks of the host list revision, of which the first reads the list unconditionally: after a loss of data, the
/// service may assign a known revision to another list.
const CHECKS_PER_READ: usize = 20;

/// Revision and generation of the configuration read from the platform, once it is current in this control.
struct Observed {
    revision: Revision,
    generation: Generation,
}

/// Starts the tasks that use the platform, if the settings name one.
pub(crate) fn start(shared: &Arc<Shared>) {
    if shared.settings.platform.is_empty() {
        return;
    }
    let client = client(shared);
    let tasks = &shared.tasks;
    let leasing = &shared.leasing;
    leasing.spawn(members::maintain(Arc::clone(shared), client.clone()));
    tasks.spawn(follow_configuration(Arc::clone(shared), client.clone()));
    tasks.spawn(read_hosts(Arc::clone(shared), client.clone()));
    leasing.spawn(planner::run(Arc::clone(shared), client));
}

/// Stops the planner and the registration of this host, and revokes their leases, so that another planner need not
/// wait for them to expire.
pub(crate) async fn release_leases(shared: &Shared) {
    if shared.settings.platform.is_empty() {
        return;
    }
    // A task that is being polled on another thread ends at its next await; a lease that it acquires until then
    // is left to expire.
    shared.leasing.close();
    shared.planner.store(false, Ordering::Relaxed);
    shared.leases.revoke_all(&client(shared)).await;
}

fn client(shared: &Shared) -> Client {
    let timeout = shared.settings.timings.platform_timeout.to_duration();
    Client::new(&shared.settings.platform, timeout)
}

/// Reads the host list periodically while this host is a watcher of its zone. The other members learn the leaving
/// hosts from the watchers.
async fn read_hosts(shared: Arc<Shared>, client: Client) {
    let interval = shared.settings.timings.confirm_interval.to_duration();
    loop {
        let mut observed = None;
        for _ in 0..CHECKS_PER_READ {
            if shared.is_watcher()
                && let Err(error) = read_changed_hosts(&shared, &client, &mut observed).await
            {
                log::debug!(error:%; "platform: cannot read the list of hosts");
            }
            agatemill_runtime::sleep(interval).await;
        }
    }
}

/// Reads the host list unless its revision is `observed`.
async fn read_changed_hosts(
    shared: &Shared,
    client: &Client,
    observed: &mut Option<Revision>,
) -> Result<(), Error> {
    if observed.is_some() && client.revision(hosts::KEY).await? == *observed {
        return Ok(());
    }
    if let Some(entry) = client.get(hosts::KEY).await? {
        offer_hosts(shared, &entry);
        *observed = Some(entry.revision);
    }
    Ok(())
}

fn offer_hosts(shared: &Shared, entry: &Entry) {
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
            "platform: the list of hosts has a lower revision, keeping the newer one");
    }
}

/// Watches the configuration key while this host is a watcher of its zone or has no configuration.
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

/// Reads the key at the start, after each change and after each `confirm_interval`, while the watch lasts and this
/// host is a watcher.
///
/// Without a change, only the revision is read: reading the document would cost each watcher its size every
/// `confirm_interval`. The observed revision is discarded with the watch, because a service that lost data closes its
/// watches and may assign the same revision to another document.
async fn watch(shared: &Arc<Shared>, client: &Client) -> Result<(), Error> {
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    let interval = shared.settings.timings.confirm_interval.to_duration();
    read(shared, client, &key).await?;
    let mut watch = client.watch(&key, Revision(0)).await?;
    let mut observed = None;
    loop {
        // A read after opening the watch finds a change that was made before.
        if !confirm(shared, client, &key, observed.as_ref()).await? {
            observed = read(shared, client, &key).await?;
        }
        let change = agatemill_runtime::timeout(interval, watch.next()).await;
        change.transpose()?;
        if !shared.is_watcher() {
            return Ok(());
        }
    }
}

/// Confirms the observed generation if the key still has its revision.
async fn confirm(
    shared: &Shared,
    client: &Client,
    key: &str,
    observed: Option<&Observed>,
) -> Result<bool, Error> {
    let Some(observed) = observed else {
        return Ok(false);
    };
    let at = agatemill_runtime::now();
    if client.revision(key).await? != Some(observed.revision) {
        return Ok(false);
    }
    shared.configuration.confirm(observed.generation, at);
    Ok(true)
}

/// Reads the key and offers its configuration; returns its revision and generation if they are now current here.
async fn read(shared: &Arc<Shared>, client: &Client, key: &str) -> Result<Option<Observed>, Error> {
    // Taken before the read: the response may reflect any moment between its start and its end.
    let at = agatemill_runtime::now();
    let Some(entry) = client.get(key).await? else {
        return Ok(None);
    };
    let envelope: Envelope = serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let generation = envelope.generation;
    let recomputed = Envelope::new(
        generation,
        envelope.write.clone(),
        envelope.author.clone(),
        envelope.text.clone(),
    );
    if recomputed != envelope {
        return Err(Error::Malformed(
            "the document does not match its digest".to_owned(),
        ));
    }
    match spread::offer(shared, envelope) {
        Outcome::Accepted | Outcome::Known => {
            shared.configuration.confirm(generation, at);
            return Ok(Some(Observed {
                revision: entry.revision,
                generation,
            }));
        }
        Outcome::Older => shared.configuration.record_rollback(generation),
        Outcome::Conflicting | Outcome::Invalid(_) => {}
    }
    Ok(None)
}
