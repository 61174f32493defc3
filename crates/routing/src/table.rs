//! Routing table of an entry: the engines that it uses.

use core::net::IpAddr;
use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;

use crate::Chain;
use crate::Engine;
use crate::Group;
use crate::Policy;
use crate::Report;
use crate::Request;
use crate::link::Links;
use crate::pool::Pool;
use crate::rendezvous;
use agatemill_config::Document;
use agatemill_config::document;
use agatemill_core::id;

/// Maximum number of engines per layer range that an entry uses. With 1,000 entries in front of 6,700 engines,
/// 16 per range bounds the status queries that each engine receives.
pub const SUBSET: usize = 16;

/// The engines that an entry uses, in pools by half, model and version; each pool has its own lock.
#[derive(Debug)]
pub struct Table {
    host: id::Host,
    zone: id::Zone,
    policy: Policy,
    state: RwLock<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Pools by half and model, the newest version first.
    pools: HashMap<(id::Half, id::Model), Vec<Arc<Mutex<Pool>>>>,
    /// The pool of each engine.
    owners: HashMap<id::Server, Arc<Mutex<Pool>>>,
    links: Links,
}

/// An engine to query for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The engine.
    pub server: id::Server,
    /// Address that the engine listens on.
    pub address: SocketAddr,
}

impl Table {
    /// Creates an empty table for the entry on `host` in `zone`.
    #[must_use]
    pub fn new(host: id::Host, zone: id::Zone, policy: Policy) -> Self {
        Self {
            host,
            zone,
            policy,
            state: RwLock::default(),
        }
    }

    /// Applies a new document. Engines whose entry in the document is unchanged keep their state.
    pub fn apply(&self, document: &Document) {
        let mut next = State {
            links: Links::new(document, &self.zone),
            ..State::default()
        };
        for half in &document.halves {
            // The document lists newer versions of a model later.
            for model in document.models.iter().rev() {
                let group = Group {
                    half: half.clone(),
                    model: model.name.clone(),
                    version: model.version.clone(),
                };
                let pool = self.build_pool(document, model, group);
                next.add(pool);
            }
        }
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        next.inherit(&state);
        *state = next;
    }

    fn build_pool(&self, document: &Document, model: &document::Model, group: Group) -> Pool {
        let belongs = |engine: &&document::Engine| {
            engine.half == group.half
                && engine.model == group.model
                && engine.version == group.version
        };
        let engines = self.select_subset(document.engines.iter().filter(belongs).collect());
        let engines = engines
            .into_iter()
            .map(|facts| (facts.name.clone(), Engine::new(facts.clone())));
        Pool {
            layers: model.layers,
            activation: model.activation,
            engines: engines.collect(),
            random: fastrand::Rng::with_seed(rendezvous::weight(self.host.as_str().as_bytes(), "")),
            group,
        }
    }

    /// Selects up to [`SUBSET`] engines per layer range by the highest rendezvous weight for this host: half from the
    /// entry's own zone and half from other zones, with either side filling up for the other.
    fn select_subset<'a>(&self, engines: Vec<&'a document::Engine>) -> Vec<&'a document::Engine> {
        let mut ranges: HashMap<_, Vec<&document::Engine>> = HashMap::new();
        for engine in engines {
            ranges.entry(engine.layers).or_default().push(engine);
        }
        let key = self.host.as_str().as_bytes();
        let mut chosen = Vec::new();
        for mut range in ranges.into_values() {
            range.sort_by_cached_key(|engine| {
                core::cmp::Reverse(rendezvous::weight(key, engine.name.as_str()))
            });
            let (local, remote): (Vec<_>, Vec<_>) = range
                .into_iter()
                .partition(|engine| engine.zone == self.zone);
            let from_remote = remote
                .len()
                .min(SUBSET.saturating_sub(local.len().min(SUBSET / 2)));
            let from_local = local.len().min(SUBSET - from_remote);
            chosen.extend(local.into_iter().take(from_local));
            chosen.extend(remote.into_iter().take(from_remote));
        }
        chosen
    }

    /// Marks the engines on these hosts as leaving and all others as not leaving.
    pub fn set_leaving(&self, hosts: &[IpAddr]) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        for pool in state.pools.values().flatten() {
            for engine in lock(pool).engines.values_mut() {
                engine.leaving = hosts.contains(&engine.facts.address.ip());
            }
        }
    }

    /// The engines to query for their status.
    #[must_use]
    pub fn targets(&self) -> Vec<Target> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let pools = state.pools.values().flatten();
        let targets = pools.flat_map(|pool| {
            let pool = lock(pool);
            let target = |engine: &Engine| Target {
                server: engine.facts.name.clone(),
                address: engine.facts.address,
            };
            pool.engines.values().map(target).collect::<Vec<_>>()
        });
        targets.collect()
    }

    /// Applies a status report of an engine.
    pub fn record_report(&self, server: &id::Server, report: &Report) {
        self.update_engine(server, |engine| engine.record_report(report));
    }

    /// Counts a status query without a response.
    pub fn record_missed_query(&self, server: &id::Server) {
        self.update_engine(server, Engine::record_missed_query);
    }

    /// Records the duration of a successful decoding step.
    pub fn record_success(&self, server: &id::Server, time: Duration) {
        self.update_engine(server, |engine| engine.record_success(time));
    }

    /// Records a failed step.
    pub fn record_failure(&self, server: &id::Server, now: Duration) {
        self.update_engine(server, |engine| {
            engine.breaker.record_failure(now);
        });
    }

    /// Chooses a chain of the newest version that has one, and records its sessions as opened. The caller must pass
    /// the chain to [`Table::record_close`] when the sessions end. `None` if no chain covers the model.
    #[must_use]
    pub fn choose(&self, request: &Request, now: Duration) -> Option<Chain> {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let key = (request.half.clone(), request.model.clone());
        let mut pools = state.pools.get(&key)?.iter();
        pools.find_map(|pool| lock(pool).choose(request, &self.policy, &state.links, now))
    }

    /// Records that the sessions of a chain are closed.
    pub fn record_close(&self, chain: &Chain, now: Duration) {
        for stage in chain.stages() {
            self.update_engine(&stage.server, |engine| engine.record_close(now));
        }
    }

    fn update_engine(&self, server: &id::Server, change: impl FnOnce(&mut Engine)) {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let Some(pool) = state.owners.get(server) else {
            return;
        };
        if let Some(engine) = lock(pool).engines.get_mut(server) {
            change(engine);
        }
    }
}

impl State {
    fn add(&mut self, pool: Pool) {
        if pool.engines.is_empty() {
            return;
        }
        let key = (pool.group.half.clone(), pool.group.model.clone());
        let servers: Vec<id::Server> = pool.engines.keys().cloned().collect();
        let pool = Arc::new(Mutex::new(pool));
        for server in servers {
            self.owners.insert(server, Arc::clone(&pool));
        }
        self.pools.entry(key).or_default().push(pool);
    }

    /// Copies the state of engines whose entry in the document is unchanged from the old state.
    fn inherit(&mut self, old: &Self) {
        for (server, pool) in &self.owners {
            let Some(old) = old.owners.get(server) else {
                continue;
            };
            let old = lock(old).engines.get(server).cloned();
            if let Some(engine) = lock(pool).engines.get_mut(server)
                && let Some(old) = old.filter(|old| old.facts == engine.facts)
            {
                *engine = old;
            }
        }
    }
}

/// Locks a pool and ignores poisoning: every change is a plain assignment, so a panic in another thread leaves the
/// pool consistent.
fn lock(pool: &Mutex<Pool>) -> std::sync::MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}
