//! The configuration in force, indexed for look-ups.

use core::time::Duration;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use compact_str::CompactString;

use crate::Model;
use crate::Route;
use agatemill_core::id;

/// The configuration in force, decoded for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; higher is newer.
    pub version: u64,
    /// Routes by host name. Invariant: sorted by prefix length, longest first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services whose routes differ in rank.
    ranked: HashSet<id::Service>,
    /// Services by name.
    pub services: HashMap<id::Service, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Organisations by API key; `None` when requests carry no keys.
    pub keys: Option<HashMap<CompactString, Arc<Organisation>>>,
}

/// A service of the configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Connections that one of its servers accepts from all hosts together.
    pub max_connections: u32,
    /// The model, if its servers are engines that hold layers.
    pub model: Option<Arc<Model>>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a request head to its end.
    pub header: Duration,
    /// Idle timeout of a connection between requests.
    pub idle: Duration,
}

/// A customer with API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name sent to backend servers.
    pub name: CompactString,
    /// Rank of its requests by urgency, 0 first, which comes before that of the route.
    pub rank: Option<u8>,
}

impl Default for Limits {
    fn default() -> Self {
        // Used only until the first configuration arrives; requests are refused until then.
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Creates a configuration; the order of `routes` does not matter.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>) -> Self {
        let ranked = ranked(&routes);
        let mut by_host: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| core::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            ranked,
            ..Self::default()
        }
    }

    /// Whether requests for a service differ in urgency, by the ranks of their routes.
    #[must_use]
    pub fn has_urgencies(&self, service: &id::Service) -> bool {
        self.ranked.contains(service)
    }

    /// The longest time for which a caller of any route waits within a response. One that accepts no bytes for longer does not
    /// read it any more.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        let routes = self.routes.values().flatten();
        let gaps = routes.map(|route| route.longest_gap());
        gaps.max().unwrap_or_default()
    }

    /// Finds the route with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// Services whose routes differ in rank.
fn ranked(routes: &[Route]) -> HashSet<id::Service> {
    let mut ranks: HashMap<&id::Service, u8> = HashMap::new();
    let mut ranked = HashSet::new();
    for route in routes {
        for share in &route.split {
            if *ranks.entry(&share.service).or_insert(route.rank) != route.rank {
                ranked.insert(share.service.clone());
            }
        }
    }
    ranked
}
