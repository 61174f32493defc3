//! Checks of links.

use crate::check::Context;
use crate::check::uniqueness::Uniqueness;
use crate::check::valid_parts;
use crate::path::Path;
use agatemill_core::quantity::Size;

pub(crate) fn check(context: &Context<'_>) {
    let mut uniqueness = Uniqueness::new(context.source);
    let list = Path::root("link");
    for (index, link) in valid_parts(&context.draft.links) {
        let path = list.index(index);
        context.ensure_zone(&path.key("from"), link.from.as_str());
        context.ensure_zone(&path.key("to"), link.to.as_str());
        // Links are symmetric, so a pair of zones has one entry regardless of the order of its ends.
        let pair = if link.from <= link.to {
            (&link.from, &link.to)
        } else {
            (&link.to, &link.from)
        };
        let found = format_args!("{} and {}", link.from, link.to);
        uniqueness.check(&path, pair, found);
        let positive = link.bandwidth > Size(0);
        let expected = "a size above 0B";
        context.ensure(positive, &path.key("bandwidth"), link.bandwidth, expected);
    }
}
