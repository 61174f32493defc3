//! Backend servers of services.

use core::net::IpAddr;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::settings::Settings;
use crate::state::CONNECT_TIMEOUT;
use agatemill_config::Document;
use agatemill_config::document::Service;
use agatemill_core::id;
use agatemill_http::Client;
use agatemill_limits::Budget;
use agatemill_routing::server::Choice;
use agatemill_routing::server::Servers;

/// Share of a retry, in thousandths, that each success adds to the retry budget.
const RETRY_PER_MILLE: u32 = 100;

/// Backend servers by half and service. Each service has its own lock.
#[derive(Debug)]
pub struct Services {
    /// Client with a connection pool, for idempotent calls.
    pub pooled: Client,
    /// Client that opens a new connection for each call.
    pub unpooled: Client,
    seed: u64,
    pools: RwLock<HashMap<Key, Arc<Pool>>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    half: id::Half,
    service: id::Service,
}

/// Backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    servers: Servers,
    budget: Budget,
}

/// An attempt to call a backend server. Dropping it without a result means that it was abandoned, for example
/// because the caller disconnected, and does not count as a failure of the server.
#[derive(Debug)]
pub struct Attempt {
    pool: Arc<Pool>,
    /// Chosen server.
    pub choice: Choice,
    finished: bool,
}

impl Services {
    /// Creates the state of an entry without a configuration.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            pooled: Client::new(CONNECT_TIMEOUT),
            unpooled: Client::without_reuse(CONNECT_TIMEOUT),
            seed: agatemill_core::Digest::of(settings.host.as_str().as_bytes()).prefix(),
            pools: RwLock::default(),
        }
    }

    /// Applies a new document; servers that remain keep their state.
    pub fn apply(&self, document: &Document) {
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = HashMap::new();
        for service in &document.services {
            let key = Key {
                half: service.half.clone(),
                service: service.name.clone(),
            };
            let pool = match pools.get(&key) {
                Some(pool) => {
                    pool.update(|state| state.servers.apply(service));
                    Arc::clone(pool)
                }
                None => Arc::new(Pool::new(service, self.seed)),
            };
            next.insert(key, pool);
        }
        *pools = next;
    }

    /// Marks the servers on these hosts as leaving and all others as not leaving.
    pub fn set_leaving(&self, hosts: &[IpAddr]) {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        for pool in pools.values() {
            pool.update(|state| state.servers.set_leaving(hosts));
        }
    }

    /// Pool of a service; `None` if the service is not configured.
    #[must_use]
    pub fn pool(&self, service: &Service) -> Option<Arc<Pool>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        let key = Key {
            half: service.half.clone(),
            service: service.name.clone(),
        };
        pools.get(&key).cloned()
    }
}

impl Pool {
    fn new(service: &Service, seed: u64) -> Self {
        let state = PoolState {
            servers: Servers::new(service, seed),
            budget: Budget::new(RETRY_PER_MILLE),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Chooses a server other than those in `exclude` and records the start of a call to it.
    #[must_use]
    pub fn choose(self: &Arc<Self>, exclude: &[id::Server]) -> Option<Attempt> {
        let now = agatemill_runtime::now();
        let choice = self.update(|state| state.servers.choose(exclude, now))?;
        Some(Attempt {
            pool: Arc::clone(self),
            choice,
            finished: false,
        })
    }

    /// Takes a retry from the budget; returns false if the budget is used up.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        self.update(|state| state.budget.take())
    }

    /// Ignores poisoning: no update of the state can panic half-way, so a panic in another thread leaves it
    /// consistent.
    fn update<T>(&self, change: impl FnOnce(&mut PoolState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

impl Attempt {
    /// Records that the server responded, with whatever status.
    pub fn record_success(self) {
        self.pool.update(|state| state.budget.record_success());
        self.finish(true);
    }

    /// Records that the server did not respond.
    pub fn record_failure(self) {
        self.finish(false);
    }

    fn finish(mut self, succeeded: bool) {
        self.finished = true;
        let now = agatemill_runtime::now();
        let server = &self.choice.server;
        self.pool
            .update(|state| state.servers.record_result(server, succeeded, now));
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let now = agatemill_runtime::now();
        let server = &self.choice.server;
        self.pool
            .update(|state| state.servers.record_abandonment(server, now));
    }
}
