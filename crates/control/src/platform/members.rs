//! Entries of members in the platform, by which hosts find each other.

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

/// Time after which the entry of a host that is gone vanishes.
const LEASE: Duration = Duration::from_mins(1);

/// Time between two renewals; two may be lost before the lease lapses.
const RENEWAL: Duration = Duration::from_secs(20);

/// Time until the next attempt after an error, or until a host that has no entry looks again whether it
/// needs one. The latter takes no call.
const RETRY: Duration = Duration::from_secs(2);

/// Value of a member's key.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Contact {
    control: SocketAddr,
}

/// Entry of this host at the platform.
#[derive(Debug, Default)]
struct Listing {
    /// Lease of the entry, unless there is none.
    lease: Option<Lease>,
    /// Whether this process has read the entries of the others.
    met: bool,
}

/// Keeps the entry of this host while it is one of its zone's contacts, and meets the others that are
/// listed.
pub(crate) async fn keep(shared: Arc<Shared>, client: Client) {
    let mut listing = Listing::default();
    loop {
        let wait = match visit(&shared, &client, &mut listing).await {
            Ok(()) if listing.lease.is_some() => RENEWAL,
            Ok(()) => RETRY,
            Err(error) => {
                log::debug!(error:%; "platform: cannot keep the entry of this host");
                if error == Error::LeaseLapsed
                    && let Some(lease) = listing.lease.take()
                {
                    shared.leases.remove(lease);
                }
                RETRY
            }
        };
        agatemill_runtime::sleep(wait).await;
    }
}

async fn visit(shared: &Arc<Shared>, client: &Client, listing: &mut Listing) -> Result<(), Error> {
    let prefix = format!("/agatemill/{}/members/", shared.settings.environment);
    if let Some(lease) = listing.lease {
        // Only at a renewal, so that hosts which have just joined are listed before others are removed.
        if !shared.is_contact() {
            client.revoke(lease).await?;
            listing.lease = None;
            shared.leases.remove(lease);
            return Ok(());
        }
        client.renew(lease).await?;
        // Finds members that both sides of a long split have forgotten.
        if shared.is_watcher() {
            meet(shared, client, &prefix).await?;
        }
        return Ok(());
    }
    if listing.met && !shared.is_contact() {
        return Ok(());
    }
    meet(shared, client, &prefix).await?;
    listing.met = true;
    // Those that it met may make an entry of this host unnecessary.
    if !shared.is_contact() {
        return Ok(());
    }
    let granted = client.grant(LEASE).await?;
    shared.leases.add(granted);
    let key = format!("{prefix}{}", shared.settings.host);
    if let Err(error) = write(shared, client, &key, granted).await {
        shared.leases.remove(granted);
        return Err(error);
    }
    listing.lease = Some(granted);
    Ok(())
}

/// Exchanges members with the listed hosts that are not among the live members, until one has answered.
async fn meet(shared: &Arc<Shared>, client: &Client, prefix: &str) -> Result<(), Error> {
    let mut listed = client.list(prefix).await?;
    fastrand::shuffle(&mut listed);
    let live = shared.live_controls();
    for entry in listed {
        let Ok(contact) = serde_json::from_slice::<Contact>(&entry.value) else {
            log::warn!(key = entry.key; "platform: malformed entry of a member");
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

/// Writes the entry of this host over whatever an earlier run left.
async fn write(shared: &Shared, client: &Client, key: &str, lease: Lease) -> Result<(), Error> {
    let contact = Contact {
        control: shared.control,
    };
    let value =
        serde_json::to_vec(&contact).map_err(|error| Error::Malformed(error.to_string()))?;
    let found = client.get(key).await?;
    let revision = found.map_or(Revision(0), |entry| entry.revision);
    match client.swap(key, &value, revision, Some(lease)).await? {
        Swap::Done(_) => Ok(()),
        Swap::Conflict(_) => Err(Error::Unavailable(
            "another process wrote the entry of this host".to_owned(),
        )),
    }
}
