//! Checks of links.

use crate::check::Context;
use crate::check::parts;
use crate::check::seen::Seen;
use crate::path::Path;
use agatemill_core::quantity::Size;

pub(crate) fn check(context: &Context<'_>) {
    let mut seen = Seen::new(context.source);
    let list = Path::root("link");
    for (index, link) in parts(&context.draft.links) {
        let path = list.index(index);
        context.zone(&path.key("from"), link.from.as_str());
        context.zone(&path.key("to"), link.to.as_str());
        // A link is the same in both directions, so a pair has one entry whichever end comes first.
        let pair = if link.from <= link.to {
            (&link.from, &link.to)
        } else {
            (&link.to, &link.from)
        };
        let found = format_args!("{} and {}", link.from, link.to);
        seen.unique(&path, pair, found);
        let positive = link.bandwidth > Size(0);
        let expected = "a size above 0B";
        context.ensure(positive, &path.key("bandwidth"), link.bandwidth, expected);
    }
}
