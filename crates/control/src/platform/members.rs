//! Registration of members at the platform, through which hosts discover each other.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;
use crate::spread;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Lease;
use agatemill_platform::Swap;

/// Lease of a registration: time after which the key of a failed host expires.
const LEASE_TTL: Duration = Duration::from_mins(1);

/// Time between two renewals; two may be lost before the lease expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Time until the next attempt after an error, or until an unregistered host checks again whether it should be
/// registered. The check makes no call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Value of a member's key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Contact {
    control: SocketAddr,
}

/// Registration of this host at the platform.
#[derive(Debug, Default)]
struct Registration {
    /// Lease of the registration, if there is one.
    lease: Option<Lease>,
    /// Whether this process has read the registrations of the other members.
    has_read_list: bool,
}

/// Keeps this host registered while it is one of its zone's contacts, and joins the other registered members.
pub(crate) async fn maintain(shared: Arc<Shared>, client: Client) {
    let mut registration = Registration::default();
    loop {
        let wait = match update(&shared, &client, &mut registration).await {
            Ok(()) if registration.lease.is_some() => RENEWAL_INTERVAL,
            Ok(()) => RETRY_INTERVAL,
            Err(error) => {
                log::debug!(error:%; "platform: cannot maintain the registration of this host");
                if error == Error::LeaseExpired
                    && let Some(lease) = registration.lease.take()
                {
                    shared.leases.remove(lease);
                }
                RETRY_INTERVAL
            }
        };
        agatemill_runtime::sleep(wait).await;
    }
}

async fn update(
    shared: &Arc<Shared>,
    client: &Client,
    registration: &mut Registration,
) -> Result<(), Error> {
    let prefix = format!("/agatemill/{}/members/", shared.settings.environment);
    if let Some(lease) = registration.lease {
        // Only at a renewal, so that new hosts are registered before others are removed.
        if !shared.is_contact() {
            client.revoke(lease).await?;
            registration.lease = None;
            shared.leases.remove(lease);
            return Ok(());
        }
        client.renew(lease).await?;
        // Finds members that both sides of a long network partition have removed.
        if shared.is_watcher() {
            join_listed(shared, client, &prefix).await?;
        }
        return Ok(());
    }
    if registration.has_read_list && !shared.is_contact() {
        return Ok(());
    }
    join_listed(shared, client, &prefix).await?;
    registration.has_read_list = true;
    // The members found may make a registration of this host unnecessary.
    if !shared.is_contact() {
        return Ok(());
    }
    let granted = client.grant(LEASE_TTL).await?;
    shared.leases.add(granted);
    let key = format!("{prefix}{}", shared.settings.host);
    if let Err(error) = write(shared, client, &key, granted).await {
        shared.leases.remove(granted);
        return Err(error);
    }
    registration.lease = Some(granted);
    Ok(())
}

/// Exchanges members with registered hosts that are not among the live members, until one exchange succeeds.
async fn join_listed(shared: &Arc<Shared>, client: &Client, prefix: &str) -> Result<(), Error> {
    let mut listed = client.list(prefix).await?;
    fastrand::shuffle(&mut listed);
    let live = shared.live_controls();
    for entry in listed {
        let Ok(contact) = serde_json::from_slice::<Contact>(&entry.value) else {
            log::warn!(key = entry.key; "platform: malformed registration of a member");
            continue;
        };
        if contact.control == shared.control || live.contains(&contact.control) {
            continue;
        }
        if spread::exchange(shared, contact.control).await.is_ok() {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes the key of this host; overwrites a value from an earlier run.
async fn write(shared: &Shared, client: &Client, key: &str, lease: Lease) -> Result<(), Error> {
    let contact = Contact {
        control: shared.control,
    };
    let value =
        serde_json::to_vec(&contact).map_err(|error| Error::Malformed(error.to_string()))?;
    let entry = client.get(key).await?;
    let revision = entry.map_or(Revision(0), |entry| entry.revision);
    match client.swap(key, &value, revision, Some(lease)).await? {
        Swap::Done(_) => Ok(()),
        Swap::Conflict(_) => Err(Error::Unavailable(
            "another process wrote the entry of this host".to_owned(),
        )),
    }
}
