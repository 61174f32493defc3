//! Assigns model layers to engines while this host leads the planning.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use crate::State;
use crate::departure;
use crate::registration::Registration;
use agatemill_adapter::engine;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;
use agatemill_fleet::Evidence;
use agatemill_fleet::Model;
use agatemill_fleet::Plan;
use agatemill_fleet::Server;
use agatemill_fleet::plan;
use agatemill_fleet::plan::Receipt;

/// Planning interval while this host leads.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which the fleet must be unchanged before empty engines get layers while most engines are empty.
/// Engines that start together are listed one after the other, and ranges chosen for half of them do not fit the
/// whole fleet.
const SETTLE_TIME: Duration = Duration::from_millis(1_300);

/// Maximum time for which a changing fleet delays assignments to empty engines.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(5);

/// Divisor of the fleet size that gives the largest number of listed engines that the planner considers lost.
/// When more look lost, the planner's own host is probably cut off.
const LOST_SHARE_DIVISOR: usize = 3;

/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a report query before an order; orders to other engines wait for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of plans that one planning interval makes: each takes into account what the engines of the previous one
/// reported.
const MAX_PLANS: usize = 3;

/// Runs the planner until the process ends.
pub async fn run(state: Arc<State>, registration: Arc<Registration>) {
    let mut plans: HashMap<id::Service, Plan> = HashMap::new();
    let mut debounce = None;
    loop {
        agatemill_runtime::sleep(POLL_INTERVAL).await;
        let now = agatemill_runtime::now();
        let Some(fence) = registration.fence(&state) else {
            debounce = None;
            plans.clear();
            continue;
        };
        let debounce = debounce.get_or_insert_with(|| Debounce::new(now));
        let is_settled = debounce.is_settled_at(&state, now);
        if !state.is_fresh() {
            continue;
        }
        // Entries that expired in an outage are back within the grace period.
        let may_lack_entries = !state.view().deletion_grace(now).is_zero();
        for (service, model, servers) in fleets(&state) {
            let (servers, crashed) = exclude_lost(&state, servers, now).await;
            let plan = plans.entry(service).or_default();
            plan.record_crashes(&crashed, &servers, now);
            if !is_settled && (may_lack_entries || plan.is_mostly_empty(&servers)) {
                continue;
            }
            let orders = choose_orders(&state, plan, &model, &servers, now).await;
            execute(&state, &registration, plan, &model, orders, fence).await;
        }
    }
}

/// An order for an engine that can take it.
struct Order {
    server: Arc<Server>,
    target: layer::Range,
    /// Number of orders that the engine has accepted.
    accepted: u64,
}

/// Chooses the next orders. Each engine is asked for a report before it gets one, since its entry may be older than what
/// another planner ordered, and the plan is made again if an engine cannot take its order.
async fn choose_orders(
    state: &Arc<State>,
    plan: &mut Plan,
    model: &Model,
    servers: &[Arc<Server>],
    now: Duration,
) -> Vec<Order> {
    let overdue = plan.refresh(servers, now);
    let mut accepted = HashMap::new();
    ask(state, plan, overdue, now, &mut accepted).await;
    let mut moves = Vec::new();
    for _ in 0..MAX_PLANS {
        moves = plan.propose(model, servers, now);
        let unasked = servers.iter().filter(|server| {
            !accepted.contains_key(&server.id)
                && moves.iter().any(|order| order.server == server.id)
        });
        let unasked: Vec<Arc<Server>> = unasked.cloned().collect();
        if unasked.is_empty() {
            break;
        }
        ask(state, plan, unasked, now, &mut accepted).await;
    }
    let orders = moves.into_iter().filter_map(|order| {
        let server = servers.iter().find(|server| server.id == order.server)?;
        Some(Order {
            server: Arc::clone(server),
            target: order.target,
            accepted: *accepted.get(&server.id)?,
        })
    });
    orders.collect()
}

/// Asks engines for their reports and records them. `accepted` gets the number of orders that each engine has accepted, of
/// those that can take another one.
async fn ask(
    state: &Arc<State>,
    plan: &mut Plan,
    servers: Vec<Arc<Server>>,
    now: Duration,
    accepted: &mut HashMap<id::Server, u64>,
) {
    let queries = servers.into_iter().map(async |server| {
        let result = engine::report(&state.pooled, server.address, REPORT_TIMEOUT).await;
        (server, result)
    });
    for (server, result) in futures::future::join_all(queries).await {
        let report = result.as_ref().ok().map(|report| plan::Report {
            is_busy: report.is_busy,
            layers: report.layers,
        });
        if let Some(target) = plan.record_report(&server, report, now) {
            log::warn!(server:% = server.id, target:%; "planner: order had no effect");
        }
        if let Ok(report) = &result {
            departure::observe_report(state, server.address, report);
        }
        let is_staying = state.departures().is_staying(&server);
        match result {
            Ok(report) if plan.can_order(&server.id) && is_staying => {
                accepted.insert(server.id.clone(), report.orders);
            }
            Ok(report) => {
                log::info!(
                    server:% = server.id, is_busy = report.is_busy, is_staying, held:? = report.layers,
                    listed:? = server.layers;
                    "planner: engine cannot take an order"
                );
                state.metrics.count_event("planner", "deferred");
            }
            Err(error) => {
                log::warn!(server:% = server.id, error:%; "planner: no report before an order");
                state.metrics.count_event("planner", "deferred");
            }
        }
    }
}

/// Detects when the fleet has stopped changing, so that engines that start together are planned together.
struct Debounce {
    /// Last known number of servers.
    servers: usize,
    /// Time of the last change of that number.
    changed: Duration,
    /// Start of the wait.
    began: Duration,
}

impl Debounce {
    fn new(now: Duration) -> Self {
        Self {
            servers: 0,
            changed: now,
            began: now,
        }
    }

    fn is_settled_at(&mut self, state: &State, now: Duration) -> bool {
        let servers = state.view().services.values().map(Vec::len).sum();
        if servers != self.servers {
            if now > self.changed + SETTLE_TIME {
                self.began = now;
            }
            self.servers = servers;
            self.changed = now;
        }
        now >= self.changed + SETTLE_TIME || now >= self.began + MAX_SETTLE_TIME
    }
}

/// Services that have a model, with their ready engines that do not leave.
fn fleets(state: &State) -> Vec<(id::Service, Arc<Model>, Vec<Arc<Server>>)> {
    let view = state.view();
    let Some(configuration) = &view.configuration else {
        return Vec::new();
    };
    let departures = state.departures();
    let models = configuration.services.iter().filter_map(|(name, service)| {
        let model = Arc::clone(service.model.as_ref()?);
        let servers = view.servers(name).iter();
        let staying = servers.filter(|server| departures.is_staying(server));
        Some((name.clone(), model, staying.cloned().collect()))
    });
    models.collect()
}

/// Returns the engines without the lost ones, and the lost ones that refuse connections. The platform lists an engine for
/// some seconds after its loss, while its layers are missing at once. An engine counts as lost if requests observed that it
/// has ended, or that it was silent for longer than sound engines are, and it does not respond to the planner's status query
/// either.
async fn exclude_lost(
    state: &Arc<State>,
    servers: Vec<Arc<Server>>,
    now: Duration,
) -> (Vec<Arc<Server>>, Vec<Arc<Server>>) {
    let suspects: Vec<Arc<Server>> = {
        let suspicion = state.suspicion();
        let is_suspect = |server: &&Arc<Server>| suspicion.is_presumed_lost(&server.address, now);
        servers.iter().filter(is_suspect).cloned().collect()
    };
    if suspects.len() * LOST_SHARE_DIVISOR > servers.len() {
        return (servers, Vec::new());
    }
    let reports = suspects.into_iter().map(async |server| {
        match engine::report(&state.pooled, server.address, CALL_TIMEOUT).await {
            Ok(report) => {
                departure::observe_report(state, server.address, &report);
                state.record_response(server.address);
                None
            }
            Err(error) => {
                log::debug!(server:% = server.id, error:%; "planner: no report from a suspected engine");
                Some((server, error.evidence() == Some(Evidence::Refused)))
            }
        }
    });
    let lost = futures::future::join_all(reports).await;
    let lost: Vec<(Arc<Server>, bool)> = lost.into_iter().flatten().collect();
    let is_present = |server: &Arc<Server>| !lost.iter().any(|(lost, _)| lost.id == server.id);
    let present = servers.into_iter().filter(is_present).collect();
    let crashed = lost.into_iter().filter(|(_, has_crashed)| *has_crashed);
    (present, crashed.map(|(server, _)| server).collect())
}

async fn execute(
    state: &Arc<State>,
    registration: &Registration,
    plan: &mut Plan,
    model: &Model,
    orders: Vec<Order>,
    fence: Fence,
) {
    let now = agatemill_runtime::now();
    for order in &orders {
        plan.record_order(model, &order.server, order.target, now);
    }
    let orders = orders
        .into_iter()
        .map(|order| send_order(state, order, fence));
    for (id, result) in futures::future::join_all(orders).await {
        let receipt = match result {
            Ok(()) => Receipt::Accepted,
            Err(engine::Failure::Fenced) => {
                registration.step_down(fence);
                Receipt::Refused
            }
            Err(engine::Failure::Refused { .. }) => Receipt::Refused,
            Err(
                engine::Failure::NotConnected(_)
                | engine::Failure::TimedOut
                | engine::Failure::Lost(_),
            ) => Receipt::Unknown,
        };
        plan.record_receipt(&id, receipt, agatemill_runtime::now());
    }
}

async fn send_order(
    state: &Arc<State>,
    order: Order,
    fence: Fence,
) -> (id::Server, Result<(), engine::Failure>) {
    let Order {
        server,
        target,
        accepted,
    } = order;
    let placement = engine::Placement {
        layers: target,
        fence,
        orders: accepted,
    };
    let receiver = (&server.id, server.address);
    let result = engine::place(&state.pooled, receiver, placement, CALL_TIMEOUT).await;
    match &result {
        Ok(()) => {
            log::info!(server:% = server.id, target:%, held:? = server.layers, fence:%; "planner: order accepted");
        }
        Err(error) => {
            log::warn!(server:% = server.id, target:%, fence:%, error:%; "planner: order failed");
        }
    }
    state.metrics.count_event(
        "planner",
        if result.is_ok() {
            "ordered"
        } else {
            "order_failed"
        },
    );
    (server.id.clone(), result)
}
