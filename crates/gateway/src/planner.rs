//! Assigns model layers to engines while this host leads the planning.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use hyper::StatusCode;

use crate::State;
use crate::departure;
use crate::registration::Registration;
use agatemill_adapter::engine;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::number::Fence;
use agatemill_fleet::Model;
use agatemill_fleet::Server;
use agatemill_fleet::placement;
use agatemill_fleet::placement::Card;
use agatemill_fleet::placement::Move;

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

/// Time beyond the expected load time after which an order counts as lost.
const LOAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Time after which an order without a response is sent again. Each order states how many orders the engine has
/// accepted, so a late one is refused if the engine has accepted another one since.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval between searches for better placements of cards that hold layers.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent moves: several small cards may be needed to replace a large one, and few loads
/// should share the weight store.
const MAX_CONCURRENT_MOVES: usize = 4;

/// An order whose effect is not visible yet.
#[derive(Clone, Debug)]
struct Pending {
    target: layer::Range,
    born_ms: u64,
    expires: Duration,
}

/// Runs the planner until the process ends.
pub async fn run(state: Arc<State>, registration: Arc<Registration>) {
    let mut plans: HashMap<id::Service, Plan> = HashMap::new();
    let mut debounce = None;
    loop {
        agatemill_runtime::sleep(POLL_INTERVAL).await;
        let now = agatemill_runtime::now();
        let Some(fence) = registration.fence() else {
            debounce = None;
            plans.clear();
            continue;
        };
        let debounce = debounce.get_or_insert_with(|| Debounce::new(now));
        let is_settled = debounce.is_settled_at(&state, now);
        if !state.is_fresh() {
            continue;
        }
        for (service, model, servers) in fleets(&state) {
            let servers = exclude_lost(&state, servers, now).await;
            let plan = plans.entry(service).or_default();
            if !is_settled && plan.is_mostly_empty(&servers) {
                continue;
            }
            let moves = plan.next(&model, &servers, now);
            execute_moves(
                &state,
                &registration,
                &servers,
                moves,
                fence,
                &mut plan.pending,
            )
            .await;
        }
    }
}

/// Planning state of one service. Services are planned separately, since each plan covers only the service's own
/// engines.
#[derive(Debug, Default)]
pub struct Plan {
    /// Orders whose effect is not visible yet.
    pending: HashMap<id::Server, Pending>,
    /// Time of the last search for better placements.
    last_rebalance: Duration,
}

impl Plan {
    /// Whether most engines have no layers and no pending order.
    #[must_use]
    pub fn is_mostly_empty(&self, servers: &[Arc<Server>]) -> bool {
        let is_empty = |server: &&Arc<Server>| {
            server.layers.is_none() && !self.pending.contains_key(&server.id)
        };
        2 * servers.iter().filter(is_empty).count() > servers.len()
    }

    /// Returns the next orders and records them as pending.
    pub fn next(&mut self, model: &Model, servers: &[Arc<Server>], now: Duration) -> Vec<Move> {
        prune_pending(&mut self.pending, servers, now);
        let cards = cards(servers, &self.pending);
        let mut moves = placement::fill(model, &cards);
        let is_idle = moves.is_empty() && self.pending.is_empty();
        if is_idle && now > self.last_rebalance + REBALANCE_INTERVAL {
            moves.extend(placement::best_moves(model, &cards, MAX_CONCURRENT_MOVES));
            self.last_rebalance = now;
        }
        for order in &moves {
            let Some(server) = servers.iter().find(|server| server.id == order.server) else {
                continue;
            };
            let pending = Pending {
                target: order.target,
                born_ms: server.born_ms,
                expires: now + load_time(model, order.target) + LOAD_TIMEOUT_MARGIN,
            };
            self.pending.insert(order.server.clone(), pending);
        }
        moves
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

/// Returns the engines without the lost ones. The platform lists an engine for some seconds after its loss,
/// while its layers are missing at once. An engine counts as lost if requests observed that it has ended, or that it was
/// silent for longer than sound engines are, and it does not respond to the planner's status query either.
async fn exclude_lost(
    state: &Arc<State>,
    servers: Vec<Arc<Server>>,
    now: Duration,
) -> Vec<Arc<Server>> {
    let suspects: Vec<Arc<Server>> = {
        let suspicion = state.suspicion();
        let is_suspect = |server: &&Arc<Server>| suspicion.is_presumed_lost(&server.address, now);
        servers.iter().filter(is_suspect).cloned().collect()
    };
    if suspects.len() * LOST_SHARE_DIVISOR > servers.len() {
        return servers;
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
                Some(server)
            }
        }
    });
    let lost = futures::future::join_all(reports).await;
    let lost: Vec<Arc<Server>> = lost.into_iter().flatten().collect();
    let is_present = |server: &Arc<Server>| !lost.iter().any(|lost| lost.id == server.id);
    servers.into_iter().filter(is_present).collect()
}

/// Removes the pending orders that took effect, whose engine restarted, or that expired.
fn prune_pending(
    pending: &mut HashMap<id::Server, Pending>,
    servers: &[Arc<Server>],
    now: Duration,
) {
    pending.retain(|id, order| {
        let Some(server) = servers.iter().find(|server| &server.id == id) else {
            return false;
        };
        let is_done = server.layers == Some(order.target);
        let is_lost = now >= order.expires || server.born_ms != order.born_ms;
        if is_lost && !is_done {
            log::warn!(server:% = id, target:% = order.target; "planner: order had no effect");
        }
        !is_done && !is_lost
    });
}

fn cards(servers: &[Arc<Server>], pending: &HashMap<id::Server, Pending>) -> Vec<Card> {
    let cards = servers.iter().filter_map(|server| {
        let target = pending.get(&server.id).map(|order| order.target);
        Some(Card {
            server: server.id.clone(),
            zone: server.zone.clone(),
            accelerator: server.accelerator.clone()?,
            layers: target.or(server.layers),
        })
    });
    cards.collect()
}

fn load_time(model: &Model, target: layer::Range) -> Duration {
    let share = f64::from(target.count()) / f64::from(model.layers);
    Duration::try_from_secs_f64(model.load_s * share * 2.0).unwrap_or_default()
}

async fn execute_moves(
    state: &Arc<State>,
    registration: &Registration,
    servers: &[Arc<Server>],
    moves: Vec<Move>,
    fence: Fence,
    pending: &mut HashMap<id::Server, Pending>,
) {
    let orders = moves.into_iter().filter_map(|order| {
        let server = servers.iter().find(|server| server.id == order.server)?;
        Some(send_order(state, Arc::clone(server), order.target, fence))
    });
    for (id, result) in futures::future::join_all(orders).await {
        match result {
            Err(engine::Failure::Fenced) => registration.step_down(fence),
            Ok(()) => {}
            Err(
                engine::Failure::NotConnected(_)
                | engine::Failure::TimedOut
                | engine::Failure::Lost(_),
            ) => {
                if let Some(order) = pending.get_mut(&id) {
                    order.expires = agatemill_runtime::now() + ORDER_RETRY_DELAY;
                }
            }
            Err(engine::Failure::Refused { .. }) => {
                pending.remove(&id);
            }
        }
    }
}

async fn send_order(
    state: &Arc<State>,
    server: Arc<Server>,
    target: layer::Range,
    fence: Fence,
) -> (id::Server, Result<(), engine::Failure>) {
    let result = async {
        let report = engine::report(&state.pooled, server.address, CALL_TIMEOUT).await?;
        if report.layers == Some(target) {
            // An earlier order took effect although its response was lost.
            return Ok(());
        }
        departure::observe_report(state, server.address, &report);
        if report.is_busy || !state.departures().is_staying(&server) {
            // A busy engine would refuse the order too; its layers are listed when it is done. One that leaves has
            // no use for other layers.
            let status = StatusCode::CONFLICT.as_u16();
            return Err(engine::Failure::Refused {
                status,
                address: None,
            });
        }
        let order = engine::Placement {
            layers: target,
            fence,
            orders: report.orders,
        };
        engine::place(
            &state.pooled,
            (&server.id, server.address),
            order,
            CALL_TIMEOUT,
        )
        .await
    };
    let result = result.await;
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
