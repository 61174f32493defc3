//! Shared state of the process.

mod observer;
pub mod stage;

use core::net::SocketAddrV4;
use core::sync::atomic::AtomicBool;
use core::sync::atomic::AtomicU8;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use event_listener::Event;
use event_listener::EventListener;

use crate::Counter;
use crate::Settings;
use crate::View;
use crate::backoff;
use crate::clock;
use crate::counter;
use crate::feed::Feed;
use crate::gate::Gate;
use crate::intake::Intake;
use crate::purpose;
use crate::reply::Faults;
use crate::shutdown::Schedule;
use crate::stall;
use crate::turns::Turns;
use agatemill_adapter::Store;
use agatemill_core::id;
use agatemill_core::number::Era;
use agatemill_fleet::Backoff;
use agatemill_fleet::Budget;
use agatemill_fleet::Census;
use agatemill_fleet::Departures;
use agatemill_fleet::Evidence;
use agatemill_fleet::Headcount;
use agatemill_fleet::Link;
use agatemill_fleet::Load;
use agatemill_fleet::Path;
use agatemill_fleet::Quarantine;
use agatemill_fleet::Route;
use agatemill_fleet::Server;
use agatemill_fleet::Suspicion;
use agatemill_fleet::Throttle;
use agatemill_fleet::admission::Returns;
use agatemill_fleet::budget::Balance;
use agatemill_fleet::budget::Purpose;
use agatemill_fleet::configuration::Limits;
use agatemill_fleet::demand::Meter;
use agatemill_fleet::evidence;
use agatemill_fleet::throttle::allocator::Allocator;
use agatemill_http::Buffers;
use agatemill_metrics::Registry;

pub use stage::Stage;

/// Timeout for connecting to a backend server: many round trips within a region, and a small part of the target
/// latency.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a call to the store, excluding the wait of a watch. The store responds in milliseconds; a longer
/// call is probably on a dead connection.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shared state of the process.
#[derive(Debug)]
pub struct State {
    /// Current settings; replaced as a whole on reload.
    settings: Mutex<Arc<Settings>>,
    /// Metrics.
    pub metrics: Registry,
    /// The platform's key-value store.
    pub store: Store,
    /// Client with pooled connections to backend servers.
    pub pooled: agatemill_http::Client,
    /// Client that opens a new connection for each request.
    unpooled: agatemill_http::Client,
    /// Cached reports of engines.
    pub reports: stall::Reports,
    /// Recent store changes for hosts that follow this one.
    pub feed: Feed,
    /// Notified when the store was restored.
    restored: Arc<Event>,
    /// Notified when other hosts should be told something at once.
    news: Event,
    /// Notified when a request waits for a credit.
    waiting: Event,
    view: Mutex<View>,
    load: Mutex<Load>,
    census: Mutex<Census>,
    meter: Mutex<Meter>,
    returns: Mutex<Returns>,
    /// Streams that wait for room.
    pub turns: Turns,
    link: Mutex<Link>,
    suspicion: Mutex<Suspicion>,
    backoff: Mutex<Backoff>,
    departures: Mutex<Departures>,
    quarantine: Mutex<Quarantine>,
    headcount: Mutex<Headcount>,
    budgets: Mutex<HashMap<id::Service, Budget>>,
    throttle: Mutex<Throttle>,
    allocator: Mutex<Allocator>,
    /// Reads bodies of requests.
    pub intake: Intake,
    /// Keeps requests until the host is ready for the first time.
    pub gate: Gate,
    /// Stage that was reached for another reason than the time.
    stage: AtomicU8,
    /// Set when the shutdown begins.
    schedule: OnceLock<Schedule>,
    /// Notified when the stage changes.
    stage_changes: Event,
    /// Number of requests in progress.
    active: Counter,
    /// Number of open connections of all listeners.
    connections: Counter,
    /// Whether a newer configuration is being fetched from another host.
    pub is_consulting: AtomicBool,
}

impl State {
    /// Creates the initial state, with an empty view.
    #[must_use]
    pub fn new(settings: Settings, metrics: Registry) -> Self {
        let buffers = Buffers::new(settings.plan().responses);
        let intake = Intake::new(settings.plan(), &metrics, buffers.clone());
        let faults = Faults::new(&metrics);
        let quota = purpose::Purpose::Servers.quota(&settings, &metrics);
        let pooled = agatemill_http::Client::new(CONNECT_TIMEOUT).with_quota(quota.clone());
        let unpooled = agatemill_http::Client::without_reuse(CONNECT_TIMEOUT).with_quota(quota);
        let (pooled, unpooled) = (faults.watch(pooled), faults.watch(unpooled));
        let store_client = agatemill_http::Client::new(STORE_TIMEOUT)
            .with_quota(purpose::Purpose::Store.quota(&settings, &metrics));
        let restored = Arc::new(Event::new());
        Self {
            census: Mutex::new(Census::new(settings.host.clone(), settings.zone.clone())),
            store: Store::new(settings.store, STORE_TIMEOUT)
                .with_observer(observer::of_store(&metrics, &restored))
                .with_client(faults.watch(store_client)),
            restored,
            settings: Mutex::new(Arc::new(settings)),
            intake,
            metrics,
            pooled: pooled.with_buffers(buffers.clone()),
            unpooled: unpooled.with_buffers(buffers),
            reports: stall::Reports::default(),
            feed: Feed::default(),
            news: Event::new(),
            waiting: Event::new(),
            view: Mutex::default(),
            load: Mutex::default(),
            meter: Mutex::default(),
            returns: Mutex::default(),
            turns: Turns::default(),
            link: Mutex::default(),
            suspicion: Mutex::default(),
            backoff: Mutex::default(),
            departures: Mutex::default(),
            quarantine: Mutex::default(),
            headcount: Mutex::default(),
            budgets: Mutex::default(),
            throttle: Mutex::new(Throttle::new(fastrand::u64(..))),
            allocator: Mutex::default(),
            gate: Gate::new(agatemill_runtime::now()),
            stage: AtomicU8::new(0),
            schedule: OnceLock::new(),
            stage_changes: Event::new(),
            active: Counter::default(),
            connections: Counter::default(),
            is_consulting: AtomicBool::new(false),
        }
    }

    /// The client for requests of a route. Requests that run at most once use a new connection: a reused one may break
    /// without showing whether the request arrived.
    #[must_use]
    pub fn client(&self, route: &Route) -> &agatemill_http::Client {
        if route.is_repeatable() {
            &self.pooled
        } else {
            &self.unpooled
        }
    }

    /// Returns the current settings.
    #[must_use]
    pub fn settings(&self) -> Arc<Settings> {
        Arc::clone(&lock(&self.settings))
    }

    /// Replaces the settings.
    pub fn set_settings(&self, settings: Settings) {
        let allowance = settings.bounds.allowance();
        self.intake.set_plan(settings.plan());
        *lock(&self.settings) = Arc::new(settings);
        let now = agatemill_runtime::now();
        for budget in lock(&self.budgets).values_mut() {
            budget.set_allowance(allowance, now);
        }
    }

    /// This host's view of the platform.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Version of the configuration in force, 0 without one.
    #[must_use]
    pub fn version(&self) -> u64 {
        let view = self.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or(0, |configuration| configuration.version)
    }

    /// Limits on what callers send, from the current configuration.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let view = self.view();
        let configuration = view.configuration.as_ref();
        configuration.map_or_else(Limits::default, |configuration| configuration.limits)
    }

    /// Load of this host's own requests on the servers.
    pub fn load(&self) -> MutexGuard<'_, Load> {
        lock(&self.load)
    }

    /// Load reports of all hosts.
    pub fn census(&self) -> MutexGuard<'_, Census> {
        lock(&self.census)
    }

    /// Demand at this host.
    pub fn meter(&self) -> MutexGuard<'_, Meter> {
        lock(&self.meter)
    }

    /// Times at which refused callers may return.
    pub fn returns(&self) -> MutexGuard<'_, Returns> {
        lock(&self.returns)
    }

    /// This host's share of the inter-zone links.
    pub fn link(&self) -> MutexGuard<'_, Link> {
        lock(&self.link)
    }

    /// Servers that are suspected or avoided.
    pub fn suspicion(&self) -> MutexGuard<'_, Suspicion> {
        lock(&self.suspicion)
    }

    /// Servers that have announced that they leave.
    pub fn departures(&self) -> MutexGuard<'_, Departures> {
        lock(&self.departures)
    }

    /// Servers that asked this host for no requests for a while.
    pub fn backoff(&self) -> MutexGuard<'_, Backoff> {
        lock(&self.backoff)
    }

    /// Parts of prompts on which engines crash.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Request limits of servers, and the credits of this host.
    pub fn throttle(&self) -> MutexGuard<'_, Throttle> {
        lock(&self.throttle)
    }

    /// The allocator of credits, which is used while this host leads.
    pub fn allocator(&self) -> MutexGuard<'_, Allocator> {
        lock(&self.allocator)
    }

    /// Lets the next ask for credits begin at once, because a request waits for them.
    pub fn announce_waiting(&self) {
        self.waiting.notify(usize::MAX);
    }

    /// Listens for the next call of [`State::announce_waiting`].
    pub fn listen_for_waiting(&self) -> EventListener {
        self.waiting.listen()
    }

    /// Records an era of the store that another host knows.
    pub fn learn_era(&self, era: Era) {
        if era > self.store.era() {
            self.store.observe(Some(era));
        }
    }

    /// Listens for the next restore of the store.
    pub fn listen_for_restore(&self) -> EventListener {
        self.restored.listen()
    }

    /// Lets the next exchange with other hosts begin at once.
    pub fn announce(&self) {
        self.news.notify(usize::MAX);
    }

    /// Listens for the next call of [`State::announce`].
    pub fn listen(&self) -> EventListener {
        self.news.listen()
    }

    /// Number of serving hosts, at least 1.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.view().members.len().max(1)
    }

    /// Counts a request of a caller towards a service's retry budget.
    pub fn count_request(&self, service: &id::Service) {
        self.with_budget(service, |budget| {
            budget.record_request(agatemill_runtime::now());
        });
    }

    /// Takes a retry from a service's budget; returns false if the budget is used up for this purpose.
    #[must_use]
    pub fn take_retry(&self, service: &id::Service, purpose: Purpose) -> bool {
        let hosts = self.count_hosts();
        let is_taken = self.with_budget(service, |budget| {
            budget.take(purpose, &hosts, agatemill_runtime::now())
        });
        let event = if is_taken { "sent" } else { "denied" };
        self.metrics.count_event("retry", event);
        is_taken
    }

    /// Whether a service's budget has a retry for this purpose.
    #[must_use]
    pub fn has_retry(&self, service: &id::Service, purpose: Purpose) -> bool {
        self.retry_balance(service).allows(purpose)
    }

    /// What a decision on a retry for a service depends on.
    #[must_use]
    pub fn retry_balance(&self, service: &id::Service) -> Balance {
        let hosts = self.count_hosts();
        self.with_budget(service, |budget| {
            budget.balance(&hosts, agatemill_runtime::now())
        })
    }

    /// Records the number of listed hosts, and returns the headcount by which limits of the fleet are divided.
    pub fn count_hosts(&self) -> Headcount {
        let listed = self.view().members.len();
        let mut headcount = lock(&self.headcount);
        headcount.record(listed, agatemill_runtime::now());
        *headcount
    }

    fn with_budget<T>(&self, service: &id::Service, act: impl FnOnce(&mut Budget) -> T) -> T {
        let settings = self.settings();
        let since = lock(&self.headcount).since();
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let allowance = settings.bounds.allowance();
            let created = since.unwrap_or_else(agatemill_runtime::now);
            let budget = if settings.first_start {
                Budget::without_predecessor(allowance, created)
            } else {
                Budget::new(allowance, created)
            };
            budget.with_offset(fastrand::f64())
        });
        act(budget)
    }

    /// Records an observation of a server that may be lost, logs it and tells the other hosts.
    pub fn suspect(&self, server: SocketAddrV4, evidence: Evidence) {
        let now = agatemill_runtime::now();
        if self.suspicion().suspect(server, evidence, now) {
            let ms = u64::try_from(evidence::AVOIDANCE.as_millis()).unwrap_or(u64::MAX);
            log::warn!(server:% = server, reason:% = evidence, for_ms = ms; "servers: suspected");
            self.metrics.count_event("servers", "suspected");
            self.announce();
        }
    }

    /// Records that a server responded, and logs if it was suspected.
    pub fn record_response(&self, server: SocketAddrV4) {
        let now = agatemill_runtime::now();
        if self.suspicion().record_response(&server, now) {
            self.log_response(server);
        }
    }

    /// Records that a run which waited for engines of its path delivers events again, and logs which were suspected.
    pub fn record_progress(&self, path: &Path) {
        let cleared = self.suspicion().record_progress(path);
        for server in cleared {
            self.log_response(server);
        }
    }

    fn log_response(&self, server: SocketAddrV4) {
        log::info!(server:% = server; "servers: responds again");
        self.metrics.count_event("servers", "responds_again");
    }

    /// Avoids a server for new requests for `time` and logs the `reason`.
    pub fn avoid(&self, server: SocketAddrV4, time: Duration, reason: &'static str) {
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
        let limit = self.settings().bounds.freshness_limit();
        self.view().freshness.is_within(limit, clock::boot_time())
    }

    /// Whether this host is ready: serving, with a recent view and a configuration.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.is_fresh() && self.view().configuration.is_some()
    }

    /// Shutdown stage of the process.
    #[must_use]
    pub fn stage(&self) -> Stage {
        let reached = Stage::from(self.stage.load(Ordering::Relaxed));
        // No task has to run at the time of the next stage for it to take effect.
        self.schedule.get().map_or(reached, |schedule| {
            reached.max(schedule.stage(agatemill_runtime::now()))
        })
    }

    /// Whether this process may live until a stream has ended whose engines work on it for `stream_ms` milliseconds.
    #[must_use]
    pub fn may_outlast(&self, stream_ms: f64) -> bool {
        // A time that is no `Duration` is longer than any process lives.
        let estimate = Duration::try_from_secs_f64(stream_ms / 1_000.0).unwrap_or(Duration::MAX);
        let now = agatemill_runtime::now();
        let schedule = self.schedule.get();
        schedule.is_none_or(|schedule| schedule.has_time(estimate, now))
    }

    /// Begins the shutdown. A schedule that was set before remains in force.
    pub fn leave(&self, schedule: Schedule) {
        self.schedule.get_or_init(|| schedule);
        self.set_stage(Stage::Leaving);
    }

    /// Sets the shutdown stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
        self.stage_changes.notify(usize::MAX);
    }

    /// Waits until requests that still run have to be answered.
    pub async fn answering(&self) {
        self.ending().await;
        if let Some(schedule) = self.schedule.get() {
            let left = schedule.answering.saturating_sub(agatemill_runtime::now());
            agatemill_runtime::sleep(left).await;
        }
    }

    /// Waits for [`Stage::Ending`].
    pub async fn ending(&self) {
        loop {
            let change = self.stage_changes.listen();
            if self.stage() == Stage::Ending {
                return;
            }
            change.await;
        }
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.get()
    }

    /// Counts a request as active until the guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> counter::Guard {
        self.active.track()
    }

    /// Number of open connections of all listeners.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a connection as open until the guard is dropped.
    #[must_use]
    pub fn track_connection(&self) -> counter::Guard {
        self.connections.track()
    }

    /// Servers of a service that are ready, do not leave, are not avoided and accept requests of this host.
    #[must_use]
    pub fn usable_servers(&self, service: &id::Service) -> Vec<Arc<Server>> {
        let now = agatemill_runtime::now();
        let servers = self.view().servers(service).to_vec();
        let departures = self.departures();
        let suspicion = self.suspicion();
        let is_usable = |server: &Arc<Server>| {
            departures.is_staying(server)
                && !suspicion.is_avoided(&server.address, now)
                && backoff::left(self, server).is_none()
        };
        servers.into_iter().filter(is_usable).collect()
    }
}

/// Locks a mutex. A value that a panicking thread left behind is still consistent, since no update is split.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
