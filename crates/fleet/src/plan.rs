//! Decides which engines of a service load which layers, from their entries and what they report.

use core::time::Duration;
use std::collections::HashMap;
use std::sync::Arc;

use crate::Model;
use crate::Server;
use crate::placement;
use crate::placement::Card;
use crate::placement::Move;
use agatemill_core::id;
use agatemill_core::layer;

/// Time beyond the expected load time after which an engine is asked whether it still carries out an order.
const LOAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Time after which an order without a response is sent again. Each order states how many orders the engine has
/// accepted, so a late one is refused if the engine has accepted another one since.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which an engine that cannot take an order is asked again.
const RECHECK_DELAY: Duration = Duration::from_secs(1);

/// Time for which no card gives up layers for those of a crashed engine, if some zone holds them. It is
/// started again within seconds, while a card that gives up layers accepts nothing until its streams have ended.
const REPLACEMENT_TIME: Duration = Duration::from_secs(5);

/// Interval between searches for better placements of cards that hold layers.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent moves: several small cards may be needed to replace a large one, and few loads
/// should share the weight store.
const MAX_CONCURRENT_MOVES: usize = 4;

/// Planning state of one service. Services are planned separately, since each plan covers only the service's own
/// engines.
#[derive(Debug, Default)]
pub struct Plan {
    /// Orders whose effect is not visible yet.
    pending: HashMap<id::Server, Pending>,
    /// Engines that cannot take an order at the moment.
    unavailable: HashMap<id::Server, Unavailable>,
    /// Crashed engines that may be started again, with the time at which the crash became known.
    crashed: Vec<(Arc<Server>, Duration)>,
    /// Time of the last search for better placements.
    last_rebalance: Duration,
}

/// An order whose effect is not visible yet.
#[derive(Clone, Debug)]
struct Pending {
    target: layer::Range,
    /// Whether the engine gives up other layers first, which it does only when their streams have ended.
    gives_up_layers: bool,
    born_ms: u64,
    /// Time at which the engine is asked what became of the order.
    expires: Duration,
}

/// An engine that cannot take an order: it carries out one that another planner sent, it holds layers that its entry does
/// not list yet, or it does not respond.
#[derive(Clone, Debug)]
struct Unavailable {
    layers: Option<layer::Range>,
    /// Whether it responded.
    has_reported: bool,
    until: Duration,
}

/// What an engine says about itself. Its entry may be older: it lists no layers while the engine loads some, nor for a moment
/// afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Layers that it has loaded.
    pub layers: Option<layer::Range>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// The engine carries it out.
    Accepted,
    /// The engine refused it.
    Refused,
    /// The engine did not respond; it may carry the order out later.
    Unknown,
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

    /// Forgets the orders that took effect, and what is known about engines that restarted or are no longer listed.
    /// Returns the engines whose orders should have taken effect by now; their reports tell what became of these orders.
    pub fn refresh(&mut self, servers: &[Arc<Server>], now: Duration) -> Vec<Arc<Server>> {
        let find = |id: &id::Server| servers.iter().find(|server| &server.id == id);
        self.pending.retain(|id, order| {
            find(id).is_some_and(|server| {
                server.born_ms == order.born_ms && server.layers != Some(order.target)
            })
        });
        self.unavailable
            .retain(|id, engine| find(id).is_some() && now < engine.until);
        let overdue = self
            .pending
            .iter()
            .filter(|(_, order)| now >= order.expires);
        overdue.filter_map(|(id, _)| find(id).cloned()).collect()
    }

    /// Records the listed engines that refuse connections.
    pub fn record_crashes(
        &mut self,
        crashed: &[Arc<Server>],
        servers: &[Arc<Server>],
        now: Duration,
    ) {
        let is_known = |known: &[(Arc<Server>, Duration)], id: &id::Server| {
            known.iter().any(|(server, _)| &server.id == id)
        };
        for server in crashed {
            if !is_known(&self.crashed, &server.id) {
                self.crashed.push((Arc::clone(server), now));
            }
        }
        self.crashed.retain(|(known, at)| {
            let is_same = |server: &Arc<Server>| server.id == known.id;
            let is_back = |server: &Arc<Server>| is_same(server) || server.address == known.address;
            let is_recent = now < *at + REPLACEMENT_TIME;
            crashed.iter().any(is_same) || (is_recent && !servers.iter().any(is_back))
        });
    }

    /// Returns the next orders. They may be sent to engines whose reports were recorded at `now`.
    pub fn propose(&mut self, model: &Model, servers: &[Arc<Server>], now: Duration) -> Vec<Move> {
        let mut cards = self.cards(servers);
        let mut moves = placement::fill(model, &cards);
        let pending = self.pending.iter().map(|(id, order)| (id, order.target));
        let ordered = moves.iter().map(|order| (&order.server, order.target));
        let targets: HashMap<&id::Server, layer::Range> = pending.chain(ordered).collect();
        for card in &mut cards {
            if let Some(target) = targets.get(&card.server) {
                card.layers = Some(*target);
                card.is_available = false;
            }
        }
        let is_idle = moves.is_empty() && self.pending.is_empty() && !self.has_busy_engines();
        let is_whole = placement::is_whole(model, &cards);
        let is_same_round = now == self.last_rebalance;
        let is_due = is_same_round || now > self.last_rebalance + REBALANCE_INTERVAL;
        if is_due && (is_idle || !is_whole) {
            moves.extend(self.rebalance(model, cards, now));
            self.last_rebalance = now;
        }
        moves
    }

    fn has_busy_engines(&self) -> bool {
        self.unavailable.values().any(|engine| engine.has_reported)
    }

    /// Moves of cards that hold layers. Crashed engines count as holders for a while if all layers have others.
    fn rebalance(&self, model: &Model, mut cards: Vec<Card>, now: Duration) -> Vec<Move> {
        if placement::is_whole(model, &cards) {
            let recent = self
                .crashed
                .iter()
                .filter(|(_, at)| now < *at + REPLACEMENT_TIME);
            cards.extend(recent.filter_map(|(server, _)| card(server, server.layers, false)));
        }
        placement::best_moves(model, &cards, MAX_CONCURRENT_MOVES)
    }

    /// Records what an engine reported; `None` when it did not respond. Returns the target of an order that had no effect.
    pub fn record_report(
        &mut self,
        server: &Server,
        report: Option<Report>,
        now: Duration,
    ) -> Option<layer::Range> {
        let has_reported = report.is_some();
        let report = report.unwrap_or(Report {
            is_busy: true,
            layers: server.layers,
        });
        if report.is_busy
            && let Some(order) = self.pending.get_mut(&server.id)
        {
            order.expires = now + RECHECK_DELAY;
            return None;
        }
        let order = self.pending.remove(&server.id);
        if report.is_busy || report.layers != server.layers {
            let engine = Unavailable {
                layers: report.layers.or(server.layers),
                has_reported,
                until: now + RECHECK_DELAY,
            };
            self.unavailable.insert(server.id.clone(), engine);
        }
        let target = order.map(|order| order.target);
        target.filter(|target| report.layers != Some(*target))
    }

    /// Whether an order may be sent to an engine.
    #[must_use]
    pub fn can_order(&self, server: &id::Server) -> bool {
        !self.pending.contains_key(server) && !self.unavailable.contains_key(server)
    }

    /// Records that an order is sent.
    pub fn record_order(
        &mut self,
        model: &Model,
        server: &Server,
        target: layer::Range,
        now: Duration,
    ) {
        let pending = Pending {
            target,
            gives_up_layers: server.layers.is_some(),
            born_ms: server.born_ms,
            expires: now + load_time(model, target) + LOAD_TIMEOUT_MARGIN,
        };
        self.pending.insert(server.id.clone(), pending);
    }

    /// Records the response to an order.
    pub fn record_receipt(&mut self, server: &id::Server, receipt: Receipt, now: Duration) {
        match receipt {
            Receipt::Accepted => {}
            Receipt::Refused => {
                self.pending.remove(server);
            }
            Receipt::Unknown => {
                if let Some(order) = self.pending.get_mut(server) {
                    order.expires = now + ORDER_RETRY_DELAY;
                }
            }
        }
    }

    /// The engines with the layers that they hold or load. One that gives up layers holds none while it waits for its
    /// streams to end, which takes longer than the load of an empty engine.
    fn cards(&self, servers: &[Arc<Server>]) -> Vec<Card> {
        let cards = servers.iter().filter_map(|server| {
            let unavailable = self.unavailable.get(&server.id);
            let layers = match self.pending.get(&server.id) {
                Some(order) => (!order.gives_up_layers).then_some(order.target),
                None => unavailable
                    .and_then(|engine| engine.layers)
                    .or(server.layers),
            };
            card(server, layers, self.can_order(&server.id))
        });
        cards.collect()
    }
}

fn card(server: &Server, layers: Option<layer::Range>, is_available: bool) -> Option<Card> {
    Some(Card {
        server: server.id.clone(),
        zone: server.zone.clone(),
        accelerator: server.accelerator.clone()?,
        layers,
        is_available,
    })
}

fn load_time(model: &Model, target: layer::Range) -> Duration {
    let share = f64::from(target.count()) / f64::from(model.layers);
    Duration::try_from_secs_f64(model.load_s * share * 2.0).unwrap_or_default()
}
