//! Leases of records.

use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_platform::Client;
use agatemill_platform::Error;
use agatemill_platform::Lease;

/// How long a lease is used for new records.
const PERIOD: Duration = Duration::from_hours(1);

/// The lease that the records of an hour share. It is never renewed.
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
    /// The lease for a record that is kept for `retention`; grants one when there is none.
    ///
    /// # Errors
    ///
    /// As [`Client::grant`]. A lease whose grant was uncertain holds no keys and lapses by itself.
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
        let lease = client.grant(retention + PERIOD).await?;
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = Some(Current {
            lease,
            retention,
            until: now + PERIOD,
        });
        Ok(lease)
    }

    /// Stops using a lease that the service has ended.
    pub fn forget(&self, lease: Lease) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.take_if(|current| current.lease == lease);
    }

    fn lock(&self) -> Option<Current> {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
