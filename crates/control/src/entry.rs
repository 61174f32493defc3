//! State of the entry on this host, from its reports.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use agatemill_core::number::Generation;
use agatemill_membership::Service;
use agatemill_wire::Report;

/// State of the entry on this host, from its reports.
#[derive(Debug, Default)]
pub struct Entry {
    last: Mutex<Option<Received>>,
}

/// The last report, its time of arrival and its connection.
#[derive(Clone, Copy, Debug)]
struct Received {
    report: Report,
    at: Duration,
    connection: u64,
}

/// Status of the entry, as advertised to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Address on which callers connect; `None` without an entry.
    pub address: Option<SocketAddr>,
    /// Whether the entry serves callers.
    pub service: Service,
    /// Generation in force at the entry; `None` without an entry.
    pub generation: Option<Generation>,
}

impl Entry {
    /// Stores a report received over `connection`.
    pub fn report(&self, report: Report, now: Duration, connection: u64) {
        *self.lock() = Some(Received {
            report,
            at: now,
            connection,
        });
    }

    /// Discards the last report if it came over `connection`, which has ended; returns whether it did.
    pub fn disconnect(&self, connection: u64) -> bool {
        let mut last = self.lock();
        let reported = last.is_some_and(|last| last.connection == connection);
        if reported {
            *last = None;
        }
        reported
    }

    /// Status of the entry; the default, absent, without a report or when the last one is older than `limit`.
    #[must_use]
    pub fn status(&self, now: Duration, limit: Duration) -> Status {
        let last = self
            .lock()
            .filter(|last| now.saturating_sub(last.at) <= limit);
        let Some(Received { report, .. }) = last else {
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

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Received>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
