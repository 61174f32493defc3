//! Leases of records.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Lease;

/// How long a lease is shared by new records.
const SHARING_PERIOD: Duration = Duration::from_hours(1);

/// The lease shared by all records of the current period. It is never renewed.
#[derive(Debug, Default)]
pub struct Leases {
    current: Mutex<Option<Current>>,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    lease: Lease,
    retention: Duration,
    until: Duration,
}

impl Leases {
    /// Returns the lease for a record that is retained for `retention`, and grants one if there is none.
    ///
    /// # Errors
    ///
    /// As [`Client::grant`]. A lease whose grant has an unknown outcome has no keys attached and expires by itself.
    pub async fn get(
        &self,
        client: &Client,
        retention: Duration,
        now: Duration,
    ) -> Result<Lease, Error> {
        let usable = |current: &Current| current.retention == retention && now < current.until;
        if let Some(current) = self.lock().filter(usable) {
            return Ok(current.lease);
        }
        let lease = client.grant(retention + SHARING_PERIOD).await?;
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = Some(Current {
            lease,
            retention,
            until: now + SHARING_PERIOD,
        });
        Ok(lease)
    }

    /// Discards a lease that has expired in the service.
    pub fn forget(&self, lease: Lease) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.take_if(|current| current.lease == lease);
    }

    fn lock(&self) -> Option<Current> {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
