//! Leases of this process at the platform.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use agatemill_platform::Client;
use agatemill_platform::Lease;

/// Leases of this process at the platform, which a planned stop revokes.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    held: Mutex<Vec<Lease>>,
}

impl Leases {
    pub(crate) fn add(&self, lease: Lease) {
        self.lock().push(lease);
    }

    /// Notes that a lease has been revoked or has lapsed.
    pub(crate) fn remove(&self, lease: Lease) {
        self.lock().retain(|held| *held != lease);
    }

    /// Revokes all leases at once; one that cannot be revoked lapses.
    pub(crate) async fn revoke_all(&self, client: &Client) {
        let held = core::mem::take(&mut *self.lock());
        let revoked = held.into_iter().map(|lease| client.revoke(lease));
        for result in futures::future::join_all(revoked).await {
            if let Err(error) = result {
                log::debug!(error:%; "platform: cannot revoke a lease");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Lease>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
