//! Selection and order of the engines that have to load layers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use agatemill_config::document::Engine;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_engine::Status;
use agatemill_engine::order::Action;

/// A layer range assigned to engines of a half.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Assignment {
    half: id::Half,
    model: id::Model,
    version: id::Version,
    layers: layer::Range,
}

/// Engines that do not hold what the document assigns to them, in the order in which they are to load it. Layer
/// ranges with the fewest holders come first; engines earlier in the list count as holders.
///
/// Engines without a status, that load or drain, or that are in `ordered` are skipped.
#[must_use]
pub fn pending_loads<'a>(
    engines: &'a [Engine],
    statuses: &BTreeMap<id::Server, Status>,
    ordered: &BTreeSet<id::Server>,
) -> Vec<&'a Engine> {
    let mut holders: BTreeMap<Assignment, usize> = BTreeMap::new();
    let mut waiting: BTreeMap<Assignment, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        let holder_count = holders.entry(assignment(engine)).or_default();
        let Some(status) = statuses.get(&engine.name) else {
            continue;
        };
        if has_assigned_layers(engine, status) {
            *holder_count += 1;
        } else if status.layers.is_some() && !status.draining && !ordered.contains(&engine.name) {
            waiting.entry(assignment(engine)).or_default().push(engine);
        }
    }
    let mut loads = Vec::new();
    while let Some(assignment) = least_held(&waiting, &holders) {
        let engines = waiting.entry(assignment.clone()).or_default();
        loads.extend(engines.pop());
        if engines.is_empty() {
            waiting.remove(&assignment);
        }
        *holders.entry(assignment).or_default() += 1;
    }
    loads
}

/// The order to load what the document assigns to an engine.
#[must_use]
pub fn load_action(engine: &Engine) -> Action {
    Action::Load {
        model: engine.model.clone(),
        version: engine.version.clone(),
        layers: engine.layers,
        adapter: None,
    }
}

/// Whether an engine holds the model, version and layers that the document assigns to it. Additional layers are
/// allowed.
#[must_use]
pub fn has_assigned_layers(engine: &Engine, status: &Status) -> bool {
    let layers = status.layers;
    status.model == engine.model
        && status.version == engine.version
        && layers.is_some_and(|layers| layers.contains(engine.layers))
}

fn least_held(
    waiting: &BTreeMap<Assignment, Vec<&Engine>>,
    holders: &BTreeMap<Assignment, usize>,
) -> Option<Assignment> {
    let holder_count = |assignment: &&Assignment| holders.get(*assignment).copied().unwrap_or(0);
    waiting.keys().min_by_key(holder_count).cloned()
}

fn assignment(engine: &Engine) -> Assignment {
    Assignment {
        half: engine.half.clone(),
        model: engine.model.clone(),
        version: engine.version.clone(),
        layers: engine.layers,
    }
}
