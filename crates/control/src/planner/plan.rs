//! Which engines are to load what, and in which order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use agatemill_config::document::Engine;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_engine::Status;
use agatemill_engine::order::Action;

/// A layer range that some engines of a half are to hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Share {
    half: id::Half,
    model: id::Model,
    version: id::Version,
    layers: layer::Range,
}

/// Engines of the document that are to load something else than they hold. Layer ranges with the fewest
/// holders come first, counting those that come before in the list as holders.
///
/// Engines without a status, that load or drain, or that are in `ordered` are left alone.
#[must_use]
pub fn pending_loads<'a>(
    engines: &'a [Engine],
    statuses: &BTreeMap<id::Server, Status>,
    ordered: &BTreeSet<id::Server>,
) -> Vec<&'a Engine> {
    let mut holders: BTreeMap<Share, usize> = BTreeMap::new();
    let mut waiting: BTreeMap<Share, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        let held = holders.entry(share(engine)).or_default();
        let Some(status) = statuses.get(&engine.name) else {
            continue;
        };
        if has_assigned_layers(engine, status) {
            *held += 1;
        } else if status.layers.is_some() && !status.draining && !ordered.contains(&engine.name) {
            waiting.entry(share(engine)).or_default().push(engine);
        }
    }
    let mut loads = Vec::new();
    while let Some(share) = scarcest(&waiting, &holders) {
        let engines = waiting.entry(share.clone()).or_default();
        loads.extend(engines.pop());
        if engines.is_empty() {
            waiting.remove(&share);
        }
        *holders.entry(share).or_default() += 1;
    }
    loads
}

/// The order that makes an engine hold what the document says.
#[must_use]
pub fn load_action(engine: &Engine) -> Action {
    Action::Load {
        model: engine.model.clone(),
        version: engine.version.clone(),
        layers: engine.layers,
        adapter: None,
    }
}

/// Whether an engine holds what the document says; more layers than that do no harm.
#[must_use]
pub fn has_assigned_layers(engine: &Engine, status: &Status) -> bool {
    let layers = status.layers;
    status.model == engine.model
        && status.version == engine.version
        && layers.is_some_and(|layers| layers.contains(engine.layers))
}

fn scarcest(
    waiting: &BTreeMap<Share, Vec<&Engine>>,
    holders: &BTreeMap<Share, usize>,
) -> Option<Share> {
    let held = |share: &&Share| holders.get(*share).copied().unwrap_or(0);
    waiting.keys().min_by_key(held).cloned()
}

fn share(engine: &Engine) -> Share {
    Share {
        half: engine.half.clone(),
        model: engine.model.clone(),
        version: engine.version.clone(),
        layers: engine.layers,
    }
}
