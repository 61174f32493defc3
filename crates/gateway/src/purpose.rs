//! Division of the descriptors of the process among its purposes.
//!
//! Addresses the load of many connections for one purpose, such as of callers that send nothing: without shares they take the
//! descriptors that other purposes need, and the host loses its engines, the store or its readiness checks.

use core::fmt;
use core::fmt::Display;
use core::fmt::Formatter;

use crate::Settings;
use agatemill_http::Quota;
use agatemill_http::quota::Change;
use agatemill_metrics::Registry;

/// Descriptors of the smallest machine, for settings that give none.
pub const DEFAULT_DESCRIPTORS: u32 = 4_100;

/// Maximum number of descriptors kept for files, listeners, the executor and short queries. Those take fewer than 40.
const MAX_RESERVED: usize = 200;

/// Divisor of the descriptors that gives the reserve of a process with few: a quarter of the smallest setting is enough for the
/// listeners and the executor.
const RESERVED_DIVISOR: usize = 4;

/// What a connection is for. Each purpose has its own share of the descriptors, so that none can take another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// Requests of callers.
    Callers,
    /// Requests and queries to backend servers.
    Servers,
    /// Address lookups of callers.
    Directory,
    /// Hosts that follow the store through this one.
    Hosts,
    /// Readiness checks of the platform.
    Readiness,
    /// Reads of the metrics.
    Metrics,
    /// Calls to the store.
    Store,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 7] = [
        Self::Callers,
        Self::Servers,
        Self::Directory,
        Self::Hosts,
        Self::Readiness,
        Self::Metrics,
        Self::Store,
    ];

    /// Name in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Servers => "servers",
            Self::Directory => "directory",
            Self::Hosts => "hosts",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Store => "store",
        }
    }

    /// Share of the descriptors that are not reserved, in percent. Servers get the most: a request may have a second run, and
    /// the leader keeps a connection to each engine (2,912 were measured at 3,001 engines, docs/CAPACITY.md). A host of 80 has
    /// some dozens of callers. The store is called by five tasks.
    const fn percent(self) -> usize {
        match self {
            Self::Callers => 32,
            Self::Servers => 52,
            Self::Directory => 6,
            Self::Hosts => 4,
            Self::Readiness | Self::Metrics | Self::Store => 2,
        }
    }

    /// Maximum number of connections of this purpose for a process with this many descriptors, at least 2.
    #[must_use]
    pub fn share(self, descriptors: u32) -> usize {
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let reserved = MAX_RESERVED.min(descriptors / RESERVED_DIVISOR);
        ((descriptors - reserved).saturating_mul(self.percent()) / 100).max(2)
    }

    /// The limit on connections that this process opens for this purpose, with the settings at its start.
    #[must_use]
    pub fn quota(self, settings: &Settings, metrics: &Registry) -> Quota {
        let max = self.share(settings.descriptors.unwrap_or(DEFAULT_DESCRIPTORS));
        let metrics = metrics.clone();
        Quota::new(max, move |change| match change {
            Change::Opened => metrics.open_connection(self.as_str()),
            Change::Closed => metrics.close_connection(self.as_str()),
            Change::Refused => metrics.count_event("quota", self.as_str()),
        })
    }
}

impl Display for Purpose {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
