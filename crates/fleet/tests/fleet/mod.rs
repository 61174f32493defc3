//! Test fleet with mixed accelerator cards.

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_fleet::Model;
use agatemill_fleet::load::Usage;
use agatemill_fleet::model::Accelerator;
use agatemill_fleet::model::Delay;
use agatemill_fleet::path::Candidate;
use agatemill_fleet::path::Request;
use agatemill_fleet::path::Start;
use agatemill_fleet::placement::Card;

pub fn zone(name: &str) -> id::Zone {
    name.parse().unwrap()
}

/// A model of 80 layers and three kinds of cards, none of which holds more than half of the layers.
pub fn model() -> Model {
    let accelerator = |name: &str, memory_mb, step_factor, read_factor| Accelerator {
        name: name.into(),
        memory_mb,
        step_factor,
        read_factor,
    };
    let delay = |from, to| Delay {
        from: zone(from),
        to: zone(to),
        ms: 0.3,
    };
    Model {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 590_000.0,
        slots: 192,
        step_ms: 1.02,
        step_request_ms: 0.0046,
        step_context_ms: 0.0062,
        pass_tokens: 4.0,
        read_tokens_per_ms: 164.0,
        load_s: 14.0,
        activation_bytes: 29_500.0,
        zone_link_mbps: 16_000.0,
        usual_prompt: 775.0,
        usual_answer: 220.0,
        accelerators: vec![
            accelerator("large", 72_000.0, 2.4, 3.2),
            accelerator("middle", 14_400.0, 5.3, 7.9),
            accelerator("slow", 21_600.0, 16.0, 8.2),
        ],
        delays: vec![delay("a", "b"), delay("a", "c"), delay("b", "c")],
    }
}

/// Empty cards: for each zone the number of large, middle and slow ones.
pub fn cards(zones: &[(&str, [usize; 3])]) -> Vec<Card> {
    let mut cards = Vec::new();
    for (name, counts) in zones {
        for (kind, count) in ["large", "middle", "slow"].into_iter().zip(counts) {
            for number in 0..*count {
                cards.push(Card {
                    server: format!("{kind}-{name}-{number}").parse().unwrap(),
                    zone: zone(name),
                    accelerator: kind.into(),
                    layers: None,
                    is_available: true,
                });
            }
        }
    }
    cards
}

/// Three zones, each with enough cards for more than one copy of the model.
#[allow(dead_code)] // Not every test binary uses it.
pub fn usual_cards() -> Vec<Card> {
    cards(&[("a", [2, 4, 4]), ("b", [1, 6, 6]), ("c", [1, 10, 4])])
}

/// An idle engine on a card that holds layers; `None` when the card is empty.
#[allow(dead_code)] // Not every test binary uses it.
pub fn candidate(model: &Model, card: &Card, number: u8) -> Option<Candidate> {
    let layers: layer::Range = card.layers?;
    let accelerator = model.accelerator(&card.accelerator)?;
    Some(Candidate {
        server: card.server.clone(),
        address: core::net::SocketAddrV4::new([10, 0, 0, number].into(), 8080),
        zone: card.zone.clone(),
        layers,
        step_factor: accelerator.step_factor,
        read_factor: accelerator.read_factor,
        token_capacity: model.token_capacity(accelerator, layers.count()),
        usage: Usage::default(),
        preference: 1.0,
        is_usable: true,
        start: Start::Allowed,
    })
}

#[allow(dead_code)]
pub fn request(zone: &id::Zone) -> Request<'_> {
    Request {
        zone,
        prompt: 775.0,
        answer: 220.0,
        may_cross: true,
        fill: 1.0,
        start: Start::Allowed,
    }
}
