//! Check that the engines of each half, model and version cover every layer.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::check::Context;
use crate::check::valid_parts;
use crate::path::Path;
use agatemill_core::layer;

/// Engines that serve one model and version for one half.
struct Group {
    /// Index of the first engine, at which a gap is reported.
    index: usize,
    ranges: Vec<layer::Range>,
}

pub(crate) fn check(context: &Context<'_>) {
    // An engine that could not be read may cover the layers that seem to be missing.
    if context.draft.engines.iter().any(Option::is_none) {
        return;
    }
    let models: HashMap<_, _> = valid_parts(&context.draft.models)
        .map(|(_, model)| ((&model.name, &model.version), model.layers))
        .collect();
    let mut groups = BTreeMap::new();
    for (index, engine) in valid_parts(&context.draft.engines) {
        let key = (&engine.half, &engine.model, &engine.version);
        let group = groups.entry(key).or_insert_with(|| Group {
            index,
            ranges: Vec::new(),
        });
        group.ranges.push(engine.layers);
    }
    let list = Path::root("engine");
    for ((half, model, version), group) in groups {
        let Some(layers) = models.get(&(model, version)) else {
            continue;
        };
        if let Some(gap) = gap(group.ranges, *layers) {
            context.source.report(
                &list.index(group.index).key("layers"),
                format_args!("no engine of half {half} with layers {gap}"),
                format_args!("every layer 0..{layers} of {model} version {version}"),
            );
        }
    }
}

/// Finds the first gap between the ranges in the layers `0..layers`.
fn gap(mut ranges: Vec<layer::Range>, layers: u32) -> Option<layer::Range> {
    ranges.sort_unstable();
    let mut covered = 0;
    for range in ranges {
        if range.start() > covered {
            return layer::Range::new(covered, range.start().min(layers)).ok();
        }
        covered = covered.max(range.end());
    }
    layer::Range::new(covered, layers).ok()
}
