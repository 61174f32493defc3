//! Checks of the invariants of a document.
//!
//! Parts that could not be read are not checked, but their names count as defined, so that one fault does
//! not cause further faults wherever the part is referenced.

mod coverage;
mod engines;
mod links;
mod models;
mod names;
mod organisations;
mod servers;
mod services;
mod settings;
mod uniqueness;

use core::fmt::Display;

use crate::check::names::Names;
use crate::check::servers::Servers;
use crate::check::uniqueness::Uniqueness;
use crate::document::draft::Draft;
use crate::path::Path;
use crate::source::Source;

/// Inputs shared by all checks.
pub(crate) struct Context<'a> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) draft: &'a Draft,
    pub(crate) names: Names<'a>,
}

/// Checks all invariants and reports violations to the source.
pub(crate) fn run(source: &Source<'_>, draft: &Draft) {
    let context = Context {
        source,
        draft,
        names: Names::new(&source.root),
    };
    let mut servers = Servers::new(source);
    settings::check(&context);
    halves(&context);
    zones(&context);
    links::check(&context);
    models::check(&context);
    engines::check(&context, &mut servers);
    coverage::check(&context);
    services::check(&context, &mut servers);
    organisations::check(&context);
}

fn halves(context: &Context<'_>) {
    let Some(halves) = &context.draft.halves else {
        return;
    };
    let path = Path::root("halves");
    if halves.is_empty() {
        let expected = "at least one half";
        context.source.report(&path, "an empty list", expected);
    }
    let mut uniqueness = Uniqueness::new(context.source);
    for (index, half) in halves.iter().enumerate() {
        uniqueness.check(&path.index(index), half, half);
    }
}

fn zones(context: &Context<'_>) {
    let mut uniqueness = Uniqueness::new(context.source);
    let list = Path::root("zone");
    for (index, zone) in valid_parts(&context.draft.zones) {
        uniqueness.check(&list.index(index).key("name"), &zone.name, &zone.name);
    }
}

/// Iterates over the parts that could be read, with their indexes in the text.
pub(crate) fn valid_parts<T>(list: &[Option<T>]) -> impl Iterator<Item = (usize, &T)> {
    list.iter()
        .enumerate()
        .filter_map(|(index, part)| Some((index, part.as_ref()?)))
}

impl Context<'_> {
    /// Reports a fault unless the condition holds.
    pub(crate) fn ensure(
        &self,
        holds: bool,
        path: &Path<'_>,
        found: impl Display,
        expected: impl Display,
    ) {
        if !holds {
            self.source.report(path, found, expected);
        }
    }

    /// Reports a half that the document does not define.
    pub(crate) fn ensure_half(&self, path: &Path<'_>, half: &str) {
        let known = self.draft.halves.is_none() || self.names.halves.contains(half);
        self.ensure(known, path, half, "one of the halves of this document");
    }

    /// Reports a zone that the document does not define.
    pub(crate) fn ensure_zone(&self, path: &Path<'_>, zone: &str) {
        let known = self.names.zones.contains(zone);
        self.ensure(known, path, zone, "one of the zones of this document");
    }
}
