//! Use of the platform's key-value service. Nothing else waits for it.

use core::sync::atomic::Ordering;
use std::sync::Arc;

use crate::configuration::Offer;
use crate::hosts;
use crate::planner;
use crate::shared::Shared;
use crate::spread;
use agatemill_config::Envelope;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Error;

mod members;

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
        if shared.is_watcher() {
            match client.get(hosts::KEY).await {
                Ok(Some(entry)) => take_hosts(&shared, &entry),
                Ok(None) => {}
                Err(error) => log::debug!(error:%; "platform: cannot read the list of hosts"),
            }
        }
        agatemill_runtime::sleep(interval).await;
    }
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
    if shared.hosts.offer(leaving) == hosts::Offer::Older {
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
async fn watch(shared: &Arc<Shared>, client: &Client) -> Result<(), Error> {
    let key = format!("/agatemill/{}/configuration", shared.settings.environment);
    let interval = shared.settings.timings.confirm_interval.to_duration();
    read(shared, client, &key).await?;
    let mut watch = client
        .watch(&key, agatemill_core::number::Revision(0))
        .await?;
    loop {
        // The read after the opening of the watch finds a change that came before it.
        read(shared, client, &key).await?;
        let change = agatemill_runtime::timeout(interval, watch.next()).await;
        change.transpose()?;
        if !shared.is_watcher() {
            return Ok(());
        }
    }
}

async fn read(shared: &Arc<Shared>, client: &Client, key: &str) -> Result<(), Error> {
    // Taken before the read: the answer may describe any moment between its start and its end.
    let at = agatemill_runtime::now();
    let Some(entry) = client.get(key).await? else {
        return Ok(());
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
        Offer::Accepted | Offer::Known => shared.configuration.confirm(generation, at),
        Offer::Older => shared.configuration.note_reverted(generation),
        Offer::Conflicting | Offer::Invalid(_) => {}
    }
    Ok(())
}
