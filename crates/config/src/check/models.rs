//! Checks of models.

use crate::check::Context;
use crate::check::uniqueness::Uniqueness;
use crate::check::valid_parts;
use crate::path::Path;
use agatemill_core::quantity::Size;

pub(crate) fn check(context: &Context<'_>) {
    let mut uniqueness = Uniqueness::new(context.source);
    let list = Path::root("model");
    for (index, model) in valid_parts(&context.draft.models) {
        let path = list.index(index);
        let found = format_args!("{} version {}", model.name, model.version);
        uniqueness.check(&path, (&model.name, &model.version), found);
        let expected = "at least 1 layer";
        context.ensure(
            model.layers > 0,
            &path.key("layers"),
            model.layers,
            expected,
        );
        let positive = model.activation > Size(0);
        let expected = "a size above 0B";
        context.ensure(
            positive,
            &path.key("activation"),
            model.activation,
            expected,
        );
    }
}
