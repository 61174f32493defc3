//! State that the parts of the process share.

use core::sync::atomic::AtomicU8;
use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::Settings;
use crate::View;
use crate::clock;
use crate::feed::Feed;
use crate::stall;
use agatemill_adapter::Store;
use agatemill_core::id;
use agatemill_fleet::Budget;
use agatemill_fleet::Census;
use agatemill_fleet::Link;
use agatemill_fleet::Load;
use agatemill_fleet::Server;
use agatemill_fleet::Suspicion;
use agatemill_metrics::Registry;

/// How long opening a connection to a backend server may take: many round trips within a region, and a
/// small part of the time in which an answer is on time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest call to the store besides the time that a watch waits: it answers in milliseconds, and a call
/// that takes longer has probably met a dead connection.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State that the parts of the process share.
#[derive(Debug)]
pub struct State {
    /// Settings in force; replaced as a whole when the file changes.
    settings: Mutex<Arc<Settings>>,
    /// Metrics.
    pub metrics: Registry,
    /// The platform's key-value store.
    pub store: Store,
    /// Connections to backend servers that are used again.
    pub shared: agatemill_http::Client,
    /// Connections to backend servers that are used once.
    pub single: agatemill_http::Client,
    /// Reports of engines that requests wait for.
    pub reports: stall::Reports,
    /// Changes of the store for hosts that follow this one.
    pub feed: Feed,
    view: Mutex<View>,
    load: Mutex<Load>,
    census: Mutex<Census>,
    link: Mutex<Link>,
    suspicion: Mutex<Suspicion>,
    budgets: Mutex<HashMap<id::Service, Budget>>,
    stage: AtomicU8,
    /// Requests that have not ended.
    active: AtomicUsize,
}

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It serves, but tells callers to go elsewhere.
    Leaving,
    /// It begins no new streams, which would outlast it.
    Closing,
}

impl State {
    /// Creates the state of a process that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, metrics: Registry) -> Self {
        Self {
            census: Mutex::new(Census::new(settings.host.clone(), settings.zone.clone())),
            store: Store::new(settings.store, STORE_TIMEOUT),
            settings: Mutex::new(Arc::new(settings)),
            metrics,
            shared: agatemill_http::Client::new(CONNECT_TIMEOUT),
            single: agatemill_http::Client::without_reuse(CONNECT_TIMEOUT),
            reports: stall::Reports::default(),
            feed: Feed::default(),
            view: Mutex::default(),
            load: Mutex::default(),
            link: Mutex::default(),
            suspicion: Mutex::default(),
            budgets: Mutex::default(),
            stage: AtomicU8::new(0),
            active: AtomicUsize::new(0),
        }
    }

    /// Settings in force.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Puts other settings in force. Budgets start anew only with another allowance: one that started anew
    /// with each reload would allow more repeats than a window has.
    pub fn set_settings(&self, settings: Settings) {
        let allowance = settings.bounds.allowance();
        let before = core::mem::replace(&mut *lock(&self.settings), Arc::new(settings));
        if before.bounds.allowance() != allowance {
            lock(&self.budgets).clear();
        }
    }

    /// What this host knows of the platform.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Work that this host has given out.
    pub fn load(&self) -> MutexGuard<'_, Load> {
        lock(&self.load)
    }

    /// What this host knows of the work of all hosts.
    pub fn census(&self) -> MutexGuard<'_, Census> {
        lock(&self.census)
    }

    /// This host's part of the links between zones.
    pub fn link(&self) -> MutexGuard<'_, Link> {
        lock(&self.link)
    }

    /// Servers that seem to be lost.
    pub fn suspicion(&self) -> MutexGuard<'_, Suspicion> {
        lock(&self.suspicion)
    }

    /// Hosts that serve, at least this one.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.view().members.len().max(1)
    }

    /// Counts a request of a caller towards a service's retry budget.
    pub fn count_request(&self, service: &id::Service) {
        self.with_budget(service, |budget| {
            budget.record_request(agatemill_runtime::now());
        });
    }

    /// Takes a repeat from a service's retry budget; false when it is used up.
    #[must_use]
    pub fn take_repeat(&self, service: &id::Service) -> bool {
        let hosts = self.hosts();
        self.with_budget(service, |budget| {
            budget.take(hosts, agatemill_runtime::now())
        })
    }

    fn with_budget<T>(&self, service: &id::Service, act: impl FnOnce(&mut Budget) -> T) -> T {
        let allowance = self.settings().bounds.allowance();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone());
        let now = agatemill_runtime::now();
        act(budget.or_insert_with(|| Budget::new(allowance, now)))
    }

    /// Takes a server for lost for `time`, because of `reason`.
    pub fn suspect(&self, server: core::net::SocketAddrV4, time: Duration, reason: &'static str) {
        let now = agatemill_runtime::now();
        if self.suspicion().suspect(server, now, now + time) {
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            log::warn!(server:% = server, reason, for_ms = ms; "servers: suspected");
            self.metrics.count_event("servers", "suspected");
        }
    }

    /// Sends a server no new requests for `time`, because of `reason`.
    pub fn avoid(&self, server: core::net::SocketAddrV4, time: Duration, reason: &'static str) {
        let now = agatemill_runtime::now();
        if let Some(time) = self.suspicion().avoid(server, now, time) {
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            log::info!(server:% = server, reason, for_ms = ms; "servers: avoided");
            self.metrics.count_event("servers", "avoided");
        }
    }

    /// Whether the view is recent enough for requests with keys.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let limit = self.settings().bounds.freshness();
        self.view().freshness.is_within(limit, clock::boot_time())
    }

    /// Whether this host serves: it has a recent view and is not on its way out.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.is_fresh() && self.view().configuration.is_some()
    }

    /// How far the process is on its way to its end.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Relaxed) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Closing,
        }
    }

    /// Moves the process on its way to its end.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// Requests that have not ended.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        Active(Arc::clone(self))
    }

    /// Usable servers of a service: ready and not avoided.
    #[must_use]
    pub fn usable(&self, service: &id::Service) -> Vec<Arc<Server>> {
        let now = agatemill_runtime::now();
        let servers = self.view().servers(service).to_vec();
        let suspicion = self.suspicion();
        let is_usable = |server: &Arc<Server>| {
            server.state == agatemill_fleet::server::State::Ready
                && !suspicion.is_avoided(&server.address, now)
        };
        servers.into_iter().filter(is_usable).collect()
    }
}

/// A request that has not ended.
#[derive(Debug)]
pub struct Active(Arc<State>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Locks a value; one that a panicking thread left behind is still whole, since no update is split.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
