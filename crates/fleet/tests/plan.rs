//! Orders of a planner whose view of the engines is incomplete.

mod fleet;

use core::time::Duration;
use std::sync::Arc;

use agatemill_core::layer;
use agatemill_fleet::Model;
use agatemill_fleet::Plan;
use agatemill_fleet::Server;
use agatemill_fleet::placement::Move;
use agatemill_fleet::plan::Receipt;
use agatemill_fleet::plan::Report;
use agatemill_fleet::server::State;
use agatemill_fleet::tally;

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(102);

/// The usual fleet with all layers placed.
fn placed_servers(model: &Model) -> Vec<Arc<Server>> {
    let cards = fleet::usual_cards();
    let moves = agatemill_fleet::placement::fill(model, &cards);
    let servers = cards.into_iter().zip(1..).map(|(card, number)| {
        let order = moves.iter().find(|order| order.server == card.server);
        Arc::new(Server {
            key: tally::Key::from(&card.server),
            born_ms: 1,
            service: "model".parse().unwrap(),
            address: core::net::SocketAddrV4::new([10, 0, 0, number].into(), 80),
            zone: card.zone,
            state: State::Ready,
            slots: 192,
            accelerator: Some(card.accelerator),
            layers: order.map(|order| order.target),
            orders: 1,
            id: card.server,
        })
    });
    servers.collect()
}

/// Sets the listed layers of one server and returns it.
fn set_layers(
    servers: &mut [Arc<Server>],
    name: &str,
    layers: Option<layer::Range>,
) -> Arc<Server> {
    let server = servers.iter_mut().find(|server| server.id.as_str() == name);
    let server = server.unwrap();
    Arc::make_mut(server).layers = layers;
    Arc::clone(server)
}

fn report(is_busy: bool, layers: Option<layer::Range>) -> Report {
    Report { is_busy, layers }
}

/// Guards against a planner that sends orders to an engine as long as it loads what another planner ordered.
#[test]
fn an_engine_that_carries_out_an_order_is_left_alone() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let busy = set_layers(&mut servers, "large-b-0", None);
    let mut plan = Plan::default();
    let moves = plan.propose(&model, &servers, NOW);
    assert_eq!(moves.len(), 1, "{moves:?}");
    plan.record_report(&busy, Some(report(true, None)), NOW);
    assert!(!plan.can_order(&busy.id));
    assert_eq!(plan.propose(&model, &servers, NOW), []);
    assert!(plan.refresh(&servers, LATER).is_empty());
    assert_eq!(
        plan.propose(&model, &servers, LATER),
        moves,
        "it is asked again later"
    );
}

/// Guards against layers that are loaded a second time elsewhere, or given up, because the entry of an engine does not list
/// them yet.
#[test]
fn layers_that_an_engine_reports_count_as_held() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let all = placed_servers(&model);
    let held = all
        .iter()
        .find(|server| server.id.as_str() == "large-b-0")
        .unwrap()
        .layers;
    let loaded = set_layers(&mut servers, "large-b-0", None);
    let empty = set_layers(&mut servers, "large-c-0", None);
    let mut plan = Plan::default();
    plan.record_report(&loaded, Some(report(false, held)), NOW);
    let moves = plan.propose(&model, &servers, NOW);
    let targets: Vec<_> = moves.iter().map(|order| &order.server).collect();
    assert_eq!(targets, [&empty.id]);
}

/// Guards against ranges that do not fit the fleet because an engine that takes no orders for a while counts as lost.
#[test]
fn ranges_have_their_usual_size_while_an_engine_is_unavailable() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let busy = set_layers(&mut servers, "large-b-0", None);
    let empty = set_layers(&mut servers, "large-c-0", None);
    let usual = placed_servers(&model);
    let usual = usual.iter().find(|server| server.id == empty.id).unwrap();
    let mut plan = Plan::default();
    plan.record_report(&busy, Some(report(true, None)), NOW);
    let moves = plan.propose(&model, &servers, NOW);
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].target.count(), usual.layers.unwrap().count());
}

/// Guards against an order that is given up, and sent to another engine as well, because the engine takes longer than expected.
#[test]
fn an_order_that_takes_longer_than_expected_stays_pending() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let slow = set_layers(&mut servers, "large-b-0", None);
    let mut plan = Plan::default();
    let target = plan.propose(&model, &servers, NOW)[0].target;
    plan.record_order(&model, &slow, target, NOW);
    plan.record_receipt(&slow.id, Receipt::Accepted, NOW);
    assert_eq!(plan.refresh(&servers, LATER), []);
    let late = NOW + Duration::from_mins(1);
    assert_eq!(plan.refresh(&servers, late), [Arc::clone(&slow)]);
    assert_eq!(
        plan.record_report(&slow, Some(report(true, None)), late),
        None
    );
    assert_eq!(plan.refresh(&servers, late), []);
    assert_eq!(plan.propose(&model, &servers, late), []);
    let late = late + Duration::from_secs(2);
    assert_eq!(
        plan.record_report(&slow, Some(report(false, None)), late),
        Some(target),
        "the order had no effect"
    );
    assert_eq!(plan.propose(&model, &servers, late).len(), 1);
}

/// Guards against layers that stay missing because an engine that does not respond counts as their holder.
#[test]
fn an_engine_without_a_response_holds_only_what_it_lists() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let silent = set_layers(&mut servers, "large-b-0", None);
    let other = set_layers(&mut servers, "large-c-0", None);
    let mut plan = Plan::default();
    let expected = {
        let only = servers.iter().filter(|server| server.id != silent.id);
        let only: Vec<_> = only.cloned().collect();
        Plan::default().propose(&model, &only, NOW)[0].clone()
    };
    plan.record_report(&silent, None, NOW);
    let moves = plan.propose(&model, &servers, NOW);
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].server, other.id);
    assert_eq!(moves[0].target.start(), expected.target.start());
    plan.refresh(&servers, LATER);
    assert_eq!(plan.propose(&model, &servers, LATER).len(), 2);
}

/// Removes an engine and returns it.
fn take(servers: &mut Vec<Arc<Server>>, name: &str) -> Arc<Server> {
    let position = servers.iter().position(|server| server.id.as_str() == name);
    servers.remove(position.unwrap())
}

/// Guards against cards that give up layers, and accept nothing for as long as their streams last, shortly before a crashed
/// engine is back.
#[test]
fn cards_that_hold_layers_stay_while_a_crashed_engine_may_return() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let crashed = take(&mut servers, "large-b-0");
    let mut plan = Plan::default();
    plan.record_crashes(core::slice::from_ref(&crashed), &servers, NOW);
    assert_eq!(plan.propose(&model, &servers, NOW), []);
    let removed = NOW + Duration::from_secs(3);
    plan.record_crashes(&[], &servers, removed);
    assert_eq!(plan.propose(&model, &servers, removed), []);
    let late = NOW + Duration::from_secs(6);
    plan.record_crashes(&[], &servers, late);
    assert_ne!(plan.propose(&model, &servers, late), []);
}

/// Guards against layers that stay missing while the platform goes on listing an engine that ended for good.
#[test]
fn an_engine_that_stays_listed_after_a_crash_is_replaced() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let crashed = [take(&mut servers, "large-b-0")];
    let mut plan = Plan::default();
    plan.record_crashes(&crashed, &servers, NOW);
    let late = NOW + Duration::from_secs(6);
    plan.record_crashes(&crashed, &servers, late);
    assert_ne!(plan.propose(&model, &servers, late), []);
}

/// Guards against layers that stay missing as long as any engine crashes now and then.
#[test]
fn the_crash_of_another_engine_does_not_delay_a_move() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let mut plan = Plan::default();
    let crashed = take(&mut servers, "large-b-0");
    plan.record_crashes(&[crashed], &servers, NOW);
    let late = NOW + Duration::from_secs(6);
    let another = take(&mut servers, "middle-c-0");
    plan.record_crashes(&[another], &servers, late);
    assert_ne!(plan.propose(&model, &servers, late), []);
}

/// Guards against layers that stay missing after an engine left for good.
#[test]
fn the_layers_of_an_engine_that_leaves_are_moved_at_once() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let mut plan = Plan::default();
    plan.refresh(&servers, NOW);
    take(&mut servers, "large-b-0");
    plan.refresh(&servers, NOW);
    assert_ne!(plan.propose(&model, &servers, NOW), []);
}

/// Guards against streams that no engine can serve until a lost one is back.
#[test]
fn layers_without_any_holder_are_moved_at_once() {
    let model = fleet::model();
    let servers = placed_servers(&model);
    let mut plan = Plan::default();
    plan.refresh(&servers, NOW);
    let is_first = |layers: layer::Range| layers.start() == 0;
    let (crashed, servers): (Vec<_>, Vec<_>) = servers
        .into_iter()
        .partition(|server| server.layers.is_some_and(is_first));
    plan.record_crashes(&crashed, &servers, NOW);
    assert_ne!(plan.propose(&model, &servers, NOW), []);
}

/// Guards against streams that no engine can serve because the planner waits for an engine that has ended.
#[test]
fn layers_without_any_holder_are_moved_while_another_engine_does_not_respond() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let empty = set_layers(&mut servers, "slow-c-0", None);
    let is_first = |layers: layer::Range| layers.start() == 0;
    servers.retain(|server| !server.layers.is_some_and(is_first));
    let mut plan = Plan::default();
    plan.refresh(&servers, NOW);
    plan.record_report(&empty, None, NOW);
    let moves = plan.propose(&model, &servers, NOW);
    let start = |order: &Move| order.target.start();
    assert!(moves.iter().any(|order| start(order) == 0), "{moves:?}");
}

/// Guards against streams that no engine can serve because the planner waits for a load of other layers.
#[test]
fn layers_without_any_holder_are_moved_while_another_engine_loads() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let empty = set_layers(&mut servers, "slow-c-0", None);
    let is_first = |layers: layer::Range| layers.start() == 0;
    servers.retain(|server| !server.layers.is_some_and(is_first));
    let mut plan = Plan::default();
    plan.refresh(&servers, NOW);
    let other = layer::Range::new(40, 49).unwrap();
    plan.record_order(&model, &empty, other, NOW);
    let moves = plan.propose(&model, &servers, NOW);
    let start = |order: &Move| order.target.start();
    assert!(moves.iter().any(|order| start(order) == 0), "{moves:?}");
    assert!(!moves.iter().any(|order| order.server == empty.id));
}

/// Guards against cards that give up layers although an empty engine takes those that nobody holds.
#[test]
fn no_card_gives_up_layers_that_an_empty_engine_takes() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let first = servers
        .iter()
        .find(|server| server.id.as_str() == "large-b-0");
    let range = first.unwrap().layers.unwrap();
    // One engine of each zone would hold the layers; only the empty one is left for them.
    let overlaps =
        |layers: layer::Range| layers.start() < range.end() && range.start() < layers.end();
    servers
        .retain(|server| server.id.as_str() == "large-b-0" || !server.layers.is_some_and(overlaps));
    let empty = set_layers(&mut servers, "large-b-0", None);
    let mut plan = Plan::default();
    let moves = plan.propose(&model, &servers, NOW);
    let targets: Vec<_> = moves.iter().map(|order| &order.server).collect();
    assert_eq!(targets, [&empty.id]);
}

/// Guards against a zone that lacks layers although an engine is free to load them: a card that is to take them gives up
/// others first, and waits until its streams have ended.
#[test]
fn an_empty_engine_loads_missing_layers_before_the_card_that_moves_to_them() {
    let model = fleet::model();
    let mut servers = placed_servers(&model);
    let mut plan = Plan::default();
    plan.refresh(&servers, NOW);
    let lost = take(&mut servers, "large-b-0");
    plan.refresh(&servers, NOW);
    let moves = plan.propose(&model, &servers, NOW);
    assert!(!moves.is_empty());
    for order in &moves {
        let server = servers.iter().find(|server| server.id == order.server);
        plan.record_order(&model, server.unwrap(), order.target, NOW);
        set_layers(&mut servers, order.server.as_str(), None);
    }
    let mut returned = Server::clone(&lost);
    returned.born_ms = 2;
    returned.layers = None;
    servers.push(Arc::new(returned));
    plan.refresh(&servers, LATER);
    let fills = plan.propose(&model, &servers, LATER);
    let fills: Vec<_> = fills
        .iter()
        .map(|order| (&order.server, order.target))
        .collect();
    assert_eq!(fills, [(&lost.id, lost.layers.unwrap())]);
}
