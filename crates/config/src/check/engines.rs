//! Checks of single engines.

use std::collections::HashMap;

use crate::check::Context;
use crate::check::servers::Servers;
use crate::check::valid_parts;
use crate::path::Path;

pub(crate) fn check<'a>(context: &Context<'a>, servers: &mut Servers<'a>) {
    let models: HashMap<_, _> = valid_parts(&context.draft.models)
        .map(|(_, model)| ((&model.name, &model.version), model.layers))
        .collect();
    let list = Path::root("engine");
    for (index, engine) in valid_parts(&context.draft.engines) {
        let path = list.index(index);
        servers.check(&path, &engine.name, engine.address);
        context.ensure_half(&path.key("half"), engine.half.as_str());
        context.ensure_zone(&path.key("zone"), engine.zone.as_str());
        let name = (engine.model.as_str(), engine.version.as_str());
        context.ensure(
            context.names.model_versions.contains(&name),
            &path.key("model"),
            format_args!("{} version {}", engine.model, engine.version),
            "a model and version of this document",
        );
        if let Some(layers) = models.get(&(&engine.model, &engine.version)) {
            context.ensure(
                engine.layers.end() <= *layers,
                &path.key("layers"),
                engine.layers,
                format_args!("a range within the {layers} layers of {}", engine.model),
            );
        }
        context.ensure(
            engine.throughput.per_second() > 0.0,
            &path.key("throughput"),
            engine.throughput,
            "a rate above 0/s",
        );
        let expected = "at least 1 step";
        context.ensure(engine.batch > 0, &path.key("batch"), engine.batch, expected);
    }
}
