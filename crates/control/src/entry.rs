//! The entry on this host, as its reports describe it.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_core::number::Generation;
use agatemill_membership::Service;
use agatemill_wire::Report;

/// The entry on this host, as its reports describe it.
#[derive(Debug, Default)]
pub struct Entry {
    last: Mutex<Option<Last>>,
}

/// The last report, when it came and over which connection.
#[derive(Clone, Copy, Debug)]
struct Last {
    report: Report,
    at: Duration,
    connection: u64,
}

/// What the entry offers to callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Where callers connect, if an entry runs.
    pub address: Option<SocketAddr>,
    /// What callers may expect.
    pub service: Service,
    /// Generation that the entry has in force, if an entry runs.
    pub generation: Option<Generation>,
}

impl Entry {
    /// Takes a report that came over `connection`.
    pub fn report(&self, report: Report, now: Duration, connection: u64) {
        *self.lock() = Some(Last {
            report,
            at: now,
            connection,
        });
    }

    /// Notes that `connection` has closed; returns whether the entry was reporting over it.
    pub fn disconnect(&self, connection: u64) -> bool {
        let mut last = self.lock();
        let reported = last.is_some_and(|last| last.connection == connection);
        if reported {
            *last = None;
        }
        reported
    }

    /// What the entry offers; nothing when its last report is older than `limit`.
    #[must_use]
    pub fn status(&self, now: Duration, limit: Duration) -> Status {
        let last = self
            .lock()
            .filter(|last| now.saturating_sub(last.at) <= limit);
        let Some(Last { report, .. }) = last else {
            return Status::default();
        };
        let service = match (report.draining, report.ready) {
            (true, _) => Service::Draining,
            (false, true) => Service::Ready,
            (false, false) => Service::Absent,
        };
        Status {
            address: Some(report.address),
            service,
            generation: Some(Generation(report.generation)),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Last>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
