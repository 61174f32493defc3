//! Orders engines to hold layers, while this host leads the planning.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use hyper::StatusCode;

use crate::State;
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
use agatemill_fleet::server;

/// Pause between looks at the fleet while this host leads.
const PERIOD: Duration = Duration::from_millis(200);

/// How long the fleet must be unchanged before empty engines get layers while most are empty: engines that
/// start together are listed one after the other, and ranges chosen for half of them do not fit the whole.
const SETTLING: Duration = Duration::from_millis(1_300);

/// Longest time for which a fleet that keeps changing leaves its empty engines without layers.
const MAX_SETTLING: Duration = Duration::from_secs(5);

/// Divisor of the largest part of an engine fleet that the planner takes for lost while listed. When more look
/// lost, the planner's own host is probably cut off.
const MAX_LOST_SHARE: usize = 3;

/// Longest call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How much longer than the load itself an order may take before it counts as lost.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Time after which an order without an answer is given once more. Orders state how many the engine has
/// accepted, so that one that is carried out late is refused when the next was accepted before.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);

/// Pause between looks for moves of cards that hold layers.
const MOVE_PAUSE: Duration = Duration::from_secs(1);

/// Most cards that move at the same time: a gap left by a large card takes several small ones, and few loads
/// share the weight store.
const MAX_MOVES: usize = 4;

/// An order whose effect has not been seen.
#[derive(Clone, Debug)]
struct Pending {
    target: layer::Range,
    born_ms: u64,
    expires: Duration,
}

/// Orders engines to hold layers until the process ends.
pub async fn run(state: Arc<State>, registration: Arc<Registration>) {
    let mut plans: HashMap<id::Service, Plan> = HashMap::new();
    let mut settling = None;
    loop {
        agatemill_runtime::sleep(PERIOD).await;
        let now = agatemill_runtime::now();
        let Some(fence) = registration.fence() else {
            settling = None;
            plans.clear();
            continue;
        };
        let settling = settling.get_or_insert_with(|| Settling::new(now));
        let is_settled = settling.is_over(&state, now);
        if !state.is_fresh() {
            continue;
        }
        for (service, model, servers) in fleets(&state) {
            let servers = present(&state, servers, now).await;
            let plan = plans.entry(service).or_default();
            if !is_settled && plan.is_mostly_empty(&servers) {
                continue;
            }
            let moves = plan.next(&model, &servers, now);
            carry_out(
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

/// What the planner has ordered for one service. Services are planned apart, since each sees only its own
/// engines.
#[derive(Debug, Default)]
pub struct Plan {
    /// Orders whose effect has not been seen.
    pending: HashMap<id::Server, Pending>,
    /// When cards that hold layers were last looked at.
    last_look: Duration,
}

impl Plan {
    /// Whether most engines neither hold layers nor load any.
    #[must_use]
    pub fn is_mostly_empty(&self, servers: &[Arc<Server>]) -> bool {
        let is_empty = |server: &&Arc<Server>| {
            server.layers.is_none() && !self.pending.contains_key(&server.id)
        };
        2 * servers.iter().filter(is_empty).count() > servers.len()
    }

    /// The next orders, which count as pending from now on.
    pub fn next(&mut self, model: &Model, servers: &[Arc<Server>], now: Duration) -> Vec<Move> {
        settle(&mut self.pending, servers, now);
        let cards = cards(servers, &self.pending);
        let mut moves = placement::fill(model, &cards);
        let is_calm = moves.is_empty() && self.pending.is_empty();
        if is_calm && now > self.last_look + MOVE_PAUSE {
            moves.extend(placement::best_moves(model, &cards, MAX_MOVES));
            self.last_look = now;
        }
        for order in &moves {
            let Some(server) = servers.iter().find(|server| server.id == order.server) else {
                continue;
            };
            let entry = Pending {
                target: order.target,
                born_ms: server.born_ms,
                expires: now + load_time(model, order.target) + LOAD_SLACK,
            };
            self.pending.insert(order.server.clone(), entry);
        }
        moves
    }
}

/// Waits until the engines that start together are all listed.
struct Settling {
    /// Number of servers seen last.
    servers: usize,
    /// When that number changed.
    changed: Duration,
    /// When the wait began.
    began: Duration,
}

impl Settling {
    fn new(now: Duration) -> Self {
        Self {
            servers: 0,
            changed: now,
            began: now,
        }
    }

    fn is_over(&mut self, state: &State, now: Duration) -> bool {
        let servers = state.view().services.values().map(Vec::len).sum();
        if servers != self.servers {
            if now > self.changed + SETTLING {
                self.began = now;
            }
            self.servers = servers;
            self.changed = now;
        }
        now >= self.changed + SETTLING || now >= self.began + MAX_SETTLING
    }
}

/// Services that have a model, with the engines that serve them.
fn fleets(state: &State) -> Vec<(id::Service, Arc<Model>, Vec<Arc<Server>>)> {
    let view = state.view();
    let Some(configuration) = &view.configuration else {
        return Vec::new();
    };
    let models = configuration.services.iter().filter_map(|(name, service)| {
        let model = Arc::clone(service.model.as_ref()?);
        let ready = view.servers(name).iter();
        let ready = ready.filter(|server| server.state == server::State::Ready);
        Some((name.clone(), model, ready.cloned().collect()))
    });
    models.collect()
}

/// The engines without those that are lost: the platform lists an engine for some seconds after its loss,
/// and its layers are missing at once. An engine counts as lost when requests met it as lost and it does not
/// report to the planner either.
async fn present(state: &Arc<State>, servers: Vec<Arc<Server>>, now: Duration) -> Vec<Arc<Server>> {
    let suspects: Vec<Arc<Server>> = {
        let suspicion = state.suspicion();
        let is_suspect = |server: &&Arc<Server>| suspicion.is_lost(&server.address, now);
        servers.iter().filter(is_suspect).cloned().collect()
    };
    if suspects.len() * MAX_LOST_SHARE > servers.len() {
        return servers;
    }
    let reports = suspects.into_iter().map(async |server| {
        let report = engine::report(&state.shared, server.address, CALL_TIMEOUT).await;
        report.is_err().then_some(server)
    });
    let lost = futures::future::join_all(reports).await;
    let lost: Vec<Arc<Server>> = lost.into_iter().flatten().collect();
    let is_present = |server: &Arc<Server>| !lost.iter().any(|lost| lost.id == server.id);
    servers.into_iter().filter(is_present).collect()
}

/// Forgets the orders whose effect is seen, whose engine has started again, or that seem to be lost.
fn settle(pending: &mut HashMap<id::Server, Pending>, servers: &[Arc<Server>], now: Duration) {
    pending.retain(|id, order| {
        let Some(server) = servers.iter().find(|server| &server.id == id) else {
            return false;
        };
        let is_done = server.layers == Some(order.target);
        let is_lost = now >= order.expires || server.born_ms != order.born_ms;
        if is_lost && !is_done {
            log::warn!(server:% = id, target:% = order.target; "planner: an order had no effect");
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
            held: target.or(server.layers),
        })
    });
    cards.collect()
}

fn load_time(model: &Model, target: layer::Range) -> Duration {
    let share = f64::from(target.count()) / f64::from(model.layers);
    Duration::try_from_secs_f64(model.load_s * share * 2.0).unwrap_or_default()
}

async fn carry_out(
    state: &Arc<State>,
    registration: &Registration,
    servers: &[Arc<Server>],
    moves: Vec<Move>,
    fence: Fence,
    pending: &mut HashMap<id::Server, Pending>,
) {
    let orders = moves.into_iter().filter_map(|order| {
        let server = servers.iter().find(|server| server.id == order.server)?;
        Some(place(state, Arc::clone(server), order.target, fence))
    });
    for (id, result) in futures::future::join_all(orders).await {
        match result {
            Err(engine::Failure::Fenced) => registration.step_down(fence),
            Ok(()) => {}
            Err(engine::Failure::Lost(_)) => {
                if let Some(order) = pending.get_mut(&id) {
                    order.expires = agatemill_runtime::now() + REPEAT_PAUSE;
                }
            }
            Err(engine::Failure::Refused { .. }) => {
                pending.remove(&id);
            }
        }
    }
}

async fn place(
    state: &Arc<State>,
    server: Arc<Server>,
    target: layer::Range,
    fence: Fence,
) -> (id::Server, Result<(), engine::Failure>) {
    let result = async {
        let report = engine::report(&state.shared, server.address, CALL_TIMEOUT).await?;
        if report.layers == Some(target) {
            // An earlier order whose answer was lost.
            return Ok(());
        }
        if report.is_busy {
            // As the engine would answer; its layers are seen when it is done.
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
            &state.shared,
            (&server.id, server.address),
            order,
            CALL_TIMEOUT,
        )
        .await
    };
    let result = result.await;
    match &result {
        Ok(()) => {
            log::info!(server:% = server.id, target:%, held:? = server.layers, fence:%; "planner: ordered");
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
