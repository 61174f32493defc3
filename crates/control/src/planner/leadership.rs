//! The planner's lease and fencing number at the platform.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::planner::term::LEASE_TTL;
use crate::planner::term::Term;
use crate::shared::Shared;
use agatemill_core::id;
use agatemill_core::number::Fence;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Error;
use agatemill_platform::Lease;
use agatemill_platform::Swap;

/// Attempts to increment the fencing counter; other planners may increment it concurrently.
const MAX_FENCE_ATTEMPTS: usize = 8;

/// The planner's lease, held by this process.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) term: Term,
    lease: Lease,
}

/// Value of the planner's key.
#[derive(Debug, Serialize, Deserialize)]
struct Holder {
    host: id::Host,
    /// Unique id of the attempt. A process whose response was lost uses it to recognise its own write.
    claim: CompactString,
}

impl Leadership {
    /// Acquires the lease if no process holds it.
    pub(crate) async fn acquire(shared: &Shared, client: &Client) -> Result<Option<Self>, Error> {
        let environment = &shared.settings.environment;
        let key = format!("/agatemill/{environment}/planner");
        if client.get(&key).await?.is_some() {
            return Ok(None);
        }
        let requested = agatemill_runtime::now();
        let lease = client.grant(LEASE_TTL).await?;
        shared.leases.add(lease);
        let claimed = async {
            if !claim(client, &key, &shared.settings.host, lease).await? {
                return Ok(None);
            }
            let fence = next_fence(client, &format!("/agatemill/{environment}/fence")).await?;
            Ok(Some(fence))
        };
        let fence = claimed.await;
        let Ok(Some(fence)) = fence else {
            revoke(shared, client, lease).await;
            return fence.map(|_| None);
        };
        let term = Term::new(fence, requested, agatemill_runtime::now());
        Ok(Some(Self { term, lease }))
    }

    /// Renews the lease.
    pub(crate) async fn renew(&mut self, client: &Client) -> Result<(), Error> {
        let sent = agatemill_runtime::now();
        client.renew(self.lease).await?;
        self.term.renew(sent);
        Ok(())
    }

    /// Releases the lease.
    pub(crate) async fn close(self, shared: &Shared, client: &Client) {
        revoke(shared, client, self.lease).await;
    }
}

/// Revokes a lease; if that fails, it expires.
async fn revoke(shared: &Shared, client: &Client, lease: Lease) {
    if let Err(error) = client.revoke(lease).await {
        log::debug!(error:%; "planner: cannot revoke the lease");
    }
    shared.leases.remove(lease);
}

async fn claim(client: &Client, key: &str, host: &id::Host, lease: Lease) -> Result<bool, Error> {
    let holder = Holder {
        host: host.clone(),
        claim: compact_str::format_compact!("{:032x}", fastrand::u128(..)),
    };
    let value = serde_json::to_vec(&holder).map_err(|error| Error::Malformed(error.to_string()))?;
    match client.swap(key, &value, Revision(0), Some(lease)).await {
        Ok(Swap::Done(_)) => Ok(true),
        Ok(Swap::Conflict(_)) => Ok(false),
        Err(error) if error.is_uncertain() => {
            let entry = client.get(key).await?;
            Ok(entry.is_some_and(|entry| entry.value == value))
        }
        Err(error) => Err(error),
    }
}

/// Increments the counter and returns its new value. After a write with an unknown outcome, another number is
/// taken: numbers may be skipped but are never used twice.
async fn next_fence(client: &Client, key: &str) -> Result<Fence, Error> {
    for _ in 0..MAX_FENCE_ATTEMPTS {
        let entry = client.get(key).await?;
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        let next = Fence(entry.as_ref().map_or(Ok(0), parse_fence)?.saturating_add(1));
        match client
            .swap(key, next.to_string().as_bytes(), revision, None)
            .await
        {
            Ok(Swap::Done(_)) => return Ok(next),
            Ok(Swap::Conflict(_)) => {}
            Err(error) if error.is_uncertain() => {}
            Err(error) => return Err(error),
        }
    }
    Err(Error::Unavailable(
        "the fencing counter is contended".to_owned(),
    ))
}

fn parse_fence(entry: &Entry) -> Result<u64, Error> {
    let text = core::str::from_utf8(&entry.value).unwrap_or_default();
    text.trim()
        .parse()
        .map_err(|_| Error::Malformed("the fencing counter is not a number".to_owned()))
}
