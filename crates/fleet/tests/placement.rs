//! Placement of layers on mixed cards.

mod fleet;

use std::collections::HashMap;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_fleet::Model;
use agatemill_fleet::placement;
use agatemill_fleet::placement::Card;

/// Places layers on all empty cards.
fn place_all(model: &Model, mut cards: Vec<Card>) -> Vec<Card> {
    for change in placement::fill(model, &cards) {
        apply(&mut cards, &change);
    }
    cards
}

fn apply(cards: &mut [Card], change: &placement::Move) {
    let card = cards.iter_mut().find(|card| card.server == change.server);
    card.unwrap().layers = Some(change.target);
}

fn holders(cards: &[Card], zone: Option<&id::Zone>, layers: u32) -> Vec<usize> {
    let in_zone = |card: &&Card| zone.is_none_or(|zone| &card.zone == zone);
    let held: Vec<layer::Range> = cards
        .iter()
        .filter(in_zone)
        .filter_map(|card| card.layers)
        .collect();
    (0..layers)
        .map(|layer| {
            let holds = |range: &&layer::Range| range.start() <= layer && layer < range.end();
            held.iter().filter(holds).count()
        })
        .collect()
}

/// Guards against streams that cross to other zones although the cards of their own zone can hold the model.
#[test]
fn each_zone_holds_the_whole_model() {
    let model = fleet::model();
    let cards = place_all(&model, fleet::usual_cards());
    for name in ["a", "b", "c"] {
        let holders = holders(&cards, Some(&fleet::zone(name)), model.layers);
        assert!(
            holders.iter().all(|count| *count > 0),
            "zone {name}: {holders:?}"
        );
    }
}

/// Guards against a planner that ends because an entry lists layers that the model does not have.
#[test]
fn layers_outside_the_model_do_not_disturb_a_placement() {
    let model = fleet::model();
    let mut cards = fleet::usual_cards();
    let ranges = [
        (model.layers, model.layers + 4),
        (model.layers - 1, u32::MAX),
    ];
    for ((start, end), card) in ranges.into_iter().zip(cards.clone()) {
        let server = format!("other-{start}").parse().unwrap();
        let layers = layer::Range::new(start, end).ok();
        cards.push(Card {
            server,
            layers,
            ..card
        });
    }
    let cards = place_all(&model, cards);
    for name in ["a", "b", "c"] {
        let holders = holders(&cards, Some(&fleet::zone(name)), model.layers);
        assert!(
            holders.iter().all(|count| *count > 0),
            "zone {name}: {holders:?}"
        );
    }
    let _ = placement::best_moves(&model, &cards, 4);
}

/// Guards against an order that exceeds the memory of an engine.
#[test]
fn no_card_holds_more_than_its_memory() {
    let model = fleet::model();
    for card in place_all(&model, fleet::usual_cards()) {
        let accelerator = model.accelerator(&card.accelerator).unwrap();
        let weights_mb = f64::from(card.layers.unwrap().count()) * model.layer_mb;
        assert!(weights_mb < accelerator.memory_mb, "{card:?}");
        assert!(card.layers.unwrap().end() <= model.layers, "{card:?}");
    }
}

/// Guards against cards without memory for the requests that pass through them.
#[test]
fn every_card_keeps_memory_for_requests() {
    let model = fleet::model();
    let cards = place_all(&model, fleet::usual_cards());
    let capacity = placement::token_capacity(&model, &cards);
    for card in cards {
        let accelerator = model.accelerator(&card.accelerator).unwrap();
        let free = model.token_capacity(accelerator, card.layers.unwrap().count());
        assert!(
            free >= capacity,
            "{card:?} has memory for {free} of {capacity} tokens"
        );
    }
}

/// Guards against a fleet that serves no requests because no single zone can hold the model.
#[test]
fn zones_that_are_too_small_hold_the_model_together() {
    let model = fleet::model();
    let cards = place_all(
        &model,
        fleet::cards(&[("a", [1, 0, 0]), ("b", [1, 0, 0]), ("c", [1, 0, 0])]),
    );
    let holders = holders(&cards, None, model.layers);
    assert!(holders.iter().all(|count| *count > 0), "{holders:?}");
}

/// Guards against a zone that stays without some layers (scale-1): many replicated layers outweighed two lost
/// ones, so these were not replaced, and all streams of the zone crossed to other zones.
#[test]
fn a_gap_of_a_zone_is_closed_by_a_replica_card() {
    let model = fleet::model();
    let mut cards = place_all(&model, fleet::usual_cards());
    let zone = fleet::zone("a");
    let last = cards.iter().position(|card| {
        card.zone == zone && card.accelerator == "middle" && card.layers.unwrap().end() == 80
    });
    cards.remove(last.expect("a middle card holds the last layers"));
    let before = holders(&cards, Some(&zone), model.layers);
    assert!(before.contains(&0), "{before:?}");
    for _ in 0..3 {
        if let Some(change) = placement::best_move(&model, &cards) {
            apply(&mut cards, &change);
        }
    }
    let after = holders(&cards, Some(&zone), model.layers);
    assert!(!after.contains(&0), "{after:?}");
}

/// Guards against closing the gap of a large card with one small card at a time, each after a load of weights.
#[test]
fn the_gap_of_a_large_card_is_closed_at_once() {
    let model = fleet::model();
    let mut cards = place_all(&model, fleet::usual_cards());
    let zone = fleet::zone("b");
    cards.retain(|card| card.zone != zone || card.accelerator != "large");
    let gap = |cards: &[Card]| {
        let holders = holders(cards, Some(&zone), model.layers);
        holders.iter().filter(|count| **count == 0).count()
    };
    let before = gap(&cards);
    let moves = placement::best_moves(&model, &cards, 4);
    for change in &moves {
        apply(&mut cards, change);
    }
    let after = gap(&cards);
    assert!(
        before > 20 && after * 2 < before,
        "{before} layers before, {after} after {moves:?}"
    );
}

/// Guards against cards that move forever: each move takes a card out of service for the time of a load.
#[test]
fn a_complete_placement_needs_no_moves() {
    let model = fleet::model();
    let cards = place_all(&model, fleet::usual_cards());
    assert_eq!(placement::best_move(&model, &cards), None);
}

/// Guards against repairs that do not terminate: the loss of any card causes only a few moves.
#[test]
fn moves_after_any_loss_terminate() {
    let model = fleet::model();
    let whole = place_all(&model, fleet::usual_cards());
    for lost in 0..whole.len() {
        let mut cards = whole.clone();
        let card = cards.remove(lost);
        let mut moves: HashMap<id::Server, u32> = HashMap::new();
        while let Some(change) = placement::best_move(&model, &cards) {
            apply(&mut cards, &change);
            let count = moves.entry(change.server).or_default();
            *count += 1;
            assert!(
                *count <= 3,
                "after the loss of {} a card keeps moving",
                card.server
            );
        }
        assert!(
            moves.len() <= 6,
            "after the loss of {}: {moves:?}",
            card.server
        );
    }
}

/// Guards against orders for engines of a kind whose memory size is unknown.
#[test]
fn cards_of_unknown_kinds_get_no_layers() {
    let model = fleet::model();
    let mut cards = fleet::usual_cards();
    cards[0].accelerator = "unlisted".into();
    let moves = placement::fill(&model, &cards);
    assert!(moves.iter().all(|change| change.server != cards[0].server));
}
