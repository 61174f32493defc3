//! Backend servers of the plain services.

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

/// Thousandths of a retry that each success earns.
const RETRY_SHARE: u32 = 100;

/// Backend servers of the plain services, by half and service, each service under its own lock.
#[derive(Debug)]
pub struct Services {
    /// Client with a connection pool, for idempotent calls.
    pub pooled: Client,
    /// Client that opens a connection for each call.
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

/// A call to a backend server in progress. When it is dropped without a result, it was given up, for
/// example because the caller left, and nothing is held against the server.
#[derive(Debug)]
pub struct Attempt {
    pool: Arc<Pool>,
    /// The server.
    pub choice: Choice,
    ended: bool,
}

impl Services {
    /// State of an entry that has no configuration yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            pooled: Client::new(CONNECT_TIMEOUT),
            unpooled: Client::without_reuse(CONNECT_TIMEOUT),
            seed: agatemill_core::Digest::of(settings.host.as_str().as_bytes()).prefix(),
            pools: RwLock::default(),
        }
    }

    /// Takes over a new document; servers that stay keep their state.
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
                    pool.with(|state| state.servers.apply(service));
                    Arc::clone(pool)
                }
                None => Arc::new(Pool::new(service, self.seed)),
            };
            next.insert(key, pool);
        }
        *pools = next;
    }

    /// Marks the servers on these hosts as leaving and the others as not.
    pub fn set_leaving(&self, hosts: &[IpAddr]) {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        for pool in pools.values() {
            pool.with(|state| state.servers.set_leaving(hosts));
        }
    }

    /// The backend servers of a service.
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
            budget: Budget::new(RETRY_SHARE),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Chooses a server other than those in `exclude` and notes that a call to it begins.
    #[must_use]
    pub fn choose(self: &Arc<Self>, exclude: &[id::Server]) -> Option<Attempt> {
        let now = agatemill_runtime::now();
        let choice = self.with(|state| state.servers.choose(exclude, now))?;
        Some(Attempt {
            pool: Arc::clone(self),
            choice,
            ended: false,
        })
    }

    /// Takes a retry from the budget; false when it is used up.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        self.with(|state| state.budget.take())
    }

    /// A panic in another thread leaves the state whole, because no change of it can panic half-way.
    fn with<T>(&self, change: impl FnOnce(&mut PoolState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

impl Attempt {
    /// Notes that the server answered, whatever it answered.
    pub fn record_success(self) {
        self.pool.with(|state| state.budget.succeeded());
        self.end(true);
    }

    /// Notes that the server did not answer.
    pub fn record_failure(self) {
        self.end(false);
    }

    fn end(mut self, succeeded: bool) {
        self.ended = true;
        let now = agatemill_runtime::now();
        let server = &self.choice.server;
        self.pool
            .with(|state| state.servers.finished(server, succeeded, now));
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = agatemill_runtime::now();
        let server = &self.choice.server;
        self.pool.with(|state| state.servers.abandoned(server, now));
    }
}
