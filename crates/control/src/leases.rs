//! Leases of this process at the platform.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use agatemill_platform::Client;
use agatemill_platform::Lease;

/// Leases of this process at the platform; a planned stop revokes them.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    active: Mutex<Vec<Lease>>,
}

impl Leases {
    pub(crate) fn add(&self, lease: Lease) {
        self.lock().push(lease);
    }

    /// Removes a lease that was revoked or has expired.
    pub(crate) fn remove(&self, lease: Lease) {
        self.lock().retain(|other| *other != lease);
    }

    /// Revokes all leases concurrently; a lease that cannot be revoked expires.
    pub(crate) async fn revoke_all(&self, client: &Client) {
        let leases = core::mem::take(&mut *self.lock());
        let revocations = leases.into_iter().map(|lease| client.revoke(lease));
        for result in futures::future::join_all(revocations).await {
            if let Err(error) = result {
                log::debug!(error:%; "platform: cannot revoke a lease");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Lease>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
