//! Selection and repair of paths.

mod fleet;

use proptest::prelude::*;

use agatemill_fleet::Model;
use agatemill_fleet::Path;
use agatemill_fleet::load::Usage;
use agatemill_fleet::path::Candidate;
use agatemill_fleet::path::Missing;
use agatemill_fleet::path::Request;
use agatemill_fleet::path::Start;
use agatemill_fleet::placement;

fn engines(model: &Model) -> Vec<Candidate> {
    let mut cards = fleet::usual_cards();
    for change in placement::fill(model, &cards) {
        let card = cards.iter_mut().find(|card| card.server == change.server);
        card.unwrap().layers = Some(change.target);
    }
    let numbers = 1_u8..;
    cards
        .iter()
        .zip(numbers)
        .filter_map(|(card, number)| fleet::candidate(model, card, number))
        .collect()
}

fn assert_whole(model: &Model, path: &Path, engines: &[Candidate]) {
    let mut next = 0;
    for (index, part) in path.parts().iter().enumerate() {
        assert_eq!(part.layers.start(), next, "{path:?}");
        next = part.layers.end();
        let engine = engines
            .iter()
            .find(|engine| engine.server == part.server)
            .unwrap();
        assert!(engine.layers.contains(part.layers), "{path:?}");
        let others = &path.parts()[..index];
        assert!(
            others.iter().all(|other| other.server != part.server),
            "{path:?}"
        );
    }
    assert_eq!(next, model.layers, "{path:?}");
}

fn zones(path: &Path, engines: &[Candidate]) -> Vec<String> {
    let zone = |server| {
        engines
            .iter()
            .find(|engine| &engine.server == server)
            .unwrap()
            .zone
            .to_string()
    };
    let mut zones: Vec<String> = path.parts().iter().map(|part| zone(&part.server)).collect();
    zones.dedup();
    zones
}

/// Guards against streams that saturate the links between zones while whole zones are free. The zone may differ
/// from the host's own, since only the activations between engines are large.
#[test]
fn a_path_stays_within_one_zone() {
    let model = fleet::model();
    let engines = engines(&model);
    for name in ["a", "b", "c"] {
        let zone = fleet::zone(name);
        let path = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
        assert_whole(&model, &path, &engines);
        assert_eq!(zones(&path, &engines).len(), 1, "{path:?}");
    }
}

/// Guards against one path that receives all requests until its engines run out of memory.
#[test]
fn requests_spread_before_memory_runs_out() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    let mut served = 0;
    while let Ok(path) = Path::choose(&model, &engines, fleet::request(&zone)) {
        assert_whole(&model, &path, &engines);
        for part in path.parts() {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.server == part.server)
                .unwrap();
            engine.usage.requests += 1;
            engine.usage.tokens += 995.0;
            assert!(
                engine.usage.tokens <= engine.token_capacity,
                "{} is over its memory",
                engine.server
            );
        }
        served += 1;
    }
    // Three zones with memory for about 80 requests each.
    assert!(served > 200, "{served} requests found a path");
}

/// Guards against reconnecting callers that overload the fastest engines (inc-da6c): after all hosts were killed,
/// the callers of about 300 streams reconnected at once, and no host counted the unread prompts of the engines.
#[test]
fn simultaneous_reconnects_spread_over_the_zones() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    let mut max_read_ms = 0.0_f64;
    for _ in 0..100 {
        let path = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
        for part in path.parts() {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.server == part.server)
                .unwrap();
            engine.usage.requests += 1;
            engine.usage.unread += 775.0;
            let share = f64::from(part.layers.count()) / f64::from(model.layers);
            let read_ms =
                engine.usage.unread * share * engine.read_factor / model.read_tokens_per_ms;
            max_read_ms = max_read_ms.max(read_ms);
        }
    }
    // One zone alone would read for about 570 ms, which exceeds the limit for a first event.
    assert!(max_read_ms < 400.0, "an engine reads for {max_read_ms} ms");
}

/// Guards against a search that misses the cheapest engine. Of engines that hold the same layers in the same zone
/// only the cheapest are considered, since a choice among 2,790 engines took 14 ms of processor time.
#[test]
fn the_cheapest_of_many_equivalent_engines_is_chosen() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    let alone = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
    let cost = |path: &Path, engines: &[Candidate]| path.token_ms(&model, engines);
    let best = cost(&alone, &engines);
    // Copies of every engine, all of them busier.
    let originals = engines.clone();
    for number in 0..40 {
        engines.extend(originals.iter().map(|original| Candidate {
            server: format!("{}-{number}", original.server).parse().unwrap(),
            usage: Usage {
                requests: 10 + number,
                tokens: 1_000.0,
                ..Usage::default()
            },
            ..original.clone()
        }));
    }
    engines.reverse();
    let among = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
    assert!((cost(&among, &engines) - best).abs() < 1e-9, "{among:?}");
    assert!(
        among
            .parts()
            .iter()
            .all(|part| originals.iter().any(|known| known.server == part.server))
    );
}

/// Guards against a full engine that is reported as a missing layer, and the reverse: requests would wait for
/// memory that is available, and the log would give a wrong reason.
#[test]
fn full_engines_and_missing_layers_are_distinguished() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    for engine in &mut engines {
        engine.usage = Usage {
            tokens: engine.token_capacity,
            ..Usage::default()
        };
    }
    let full = Path::choose(&model, &engines, fleet::request(&zone));
    assert_eq!(full, Err(Missing::Room));
    engines.retain(|engine| engine.layers.start() > 0);
    let gap = Path::choose(&model, &engines, fleet::request(&zone));
    assert_eq!(gap, Err(Missing::Layers));
}

/// Guards against a log that reports full engines, or layers without an engine, while only the links between zones are
/// full.
#[test]
fn full_links_full_engines_and_missing_layers_are_distinguished() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let (local, remote) = (fleet::zone("a"), fleet::zone("b"));
    for engine in &mut engines {
        let is_low = engine.layers.end() <= model.layers / 2;
        engine.zone = if is_low {
            local.clone()
        } else {
            remote.clone()
        };
    }
    let request = fleet::request(&local);
    let request = Request {
        may_cross: false,
        start: Start::Allowed,
        ..request
    };
    let links = Path::choose(&model, &engines, request);
    assert_eq!(links, Err(Missing::Links));
    for engine in &mut engines {
        engine.usage = Usage {
            tokens: engine.token_capacity,
            ..Usage::default()
        };
    }
    let full = Path::choose(&model, &engines, request);
    assert_eq!(full, Err(Missing::Room));
    engines.retain(|engine| engine.layers.start() > 0);
    let gap = Path::choose(&model, &engines, request);
    assert_eq!(gap, Err(Missing::Layers));
}

/// Guards against requests that wait for room or layers, or are sent to a first engine that asks for no requests.
#[test]
fn first_engines_that_ask_for_no_requests_are_distinguished() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    for engine in &mut engines {
        engine.start = Start::BackingOff;
    }
    let all = Path::choose(&model, &engines, fleet::request(&zone));
    assert_eq!(all, Err(Missing::Backoff));
    let mut firsts = engines
        .iter_mut()
        .filter(|engine| engine.layers.start() == 0);
    firsts.next().unwrap().start = Start::Limited;
    let limited = Path::choose(&model, &engines, fleet::request(&zone));
    assert_eq!(limited, Err(Missing::Limit));
    let mut firsts = engines
        .iter_mut()
        .filter(|engine| engine.layers.start() == 0);
    let first = firsts.next().unwrap();
    first.start = Start::Allowed;
    let server = first.server.clone();
    let path = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
    assert_eq!(path.first().server, server);
}

/// Guards against a repair that replaces healthy parts: the new engines would read the whole request again.
#[test]
fn a_repair_replaces_only_the_lost_part() {
    let model = fleet::model();
    let mut engines = engines(&model);
    let zone = fleet::zone("a");
    let path = Path::choose(&model, &engines, fleet::request(&zone)).unwrap();
    let lost = path.parts()[1].clone();
    let engine = engines
        .iter_mut()
        .find(|engine| engine.server == lost.server);
    engine.unwrap().is_usable = false;
    let repaired = path
        .repair(&model, &engines, fleet::request(&zone), |part| {
            part == &lost
        })
        .unwrap();
    assert_whole(&model, &repaired, &engines);
    assert_eq!(repaired.first(), path.first());
    for part in path.parts().iter().filter(|part| **part != lost) {
        assert!(repaired.parts().contains(part), "{part:?} was moved");
    }
}

proptest! {
    /// Guards against a path that runs a layer twice or not at all, for any lost engines and loads.
    #[test]
    fn every_path_runs_each_layer_once(
        lost in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
        loads in proptest::collection::vec(0.0..1.0_f64, 38),
        broken in any::<prop::sample::Index>(),
    ) {
        let model = fleet::model();
        let mut engines = engines(&model);
        for (engine, load) in engines.iter_mut().zip(loads) {
            engine.usage = Usage { requests: 50, tokens: engine.token_capacity * load, unread: 0.0 };
        }
        for index in lost {
            let count = engines.len();
            engines[index.index(count)].is_usable = false;
        }
        let zone = fleet::zone("b");
        if let Ok(path) = Path::choose(&model, &engines, fleet::request(&zone)) {
            assert_whole(&model, &path, &engines);
            let part = path.parts()[broken.index(path.parts().len())].clone();
            let engine = engines.iter_mut().find(|engine| engine.server == part.server);
            engine.unwrap().is_usable = false;
            if let Ok(repaired) = path.repair(&model, &engines, fleet::request(&zone), |other| other == &part) {
                assert_whole(&model, &repaired, &engines);
                prop_assert_eq!(repaired.first(), path.first());
            }
        }
    }
}

/// Guards against a request that finds no path while the links between zones are full, although a zone that is
/// slower, or farther away, holds all layers: the partial paths of faster zones that lack a layer were kept instead.
#[test]
fn a_whole_zone_is_found_beside_faster_zones_that_lack_layers() {
    let model = fleet::model();
    for whole in ["a", "b", "c"] {
        let whole = fleet::zone(whole);
        let mut engines = engines(&model);
        engines.retain(|engine| engine.zone == whole || engine.layers.end() < model.layers);
        for engine in engines.iter_mut().filter(|engine| engine.zone == whole) {
            engine.usage.tokens = engine.token_capacity * 0.9;
        }
        for host in ["a", "b", "c"] {
            let host = fleet::zone(host);
            let request = Request {
                may_cross: false,
                ..fleet::request(&host)
            };
            let path = Path::choose(&model, &engines, request);
            let path = path.unwrap_or_else(|missing| panic!("{whole} from {host}: {missing:?}"));
            assert_whole(&model, &path, &engines);
            assert_eq!(zones(&path, &engines), [whole.to_string()]);
        }
    }
}
