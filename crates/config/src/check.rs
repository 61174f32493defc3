//! Checks of the invariants of a document.
//!
//! Parts that could not be read are left out of the checks, but their names count as known, so that one
//! mistake does not bring faults in all places that refer to it.

mod cover;
mod engines;
mod links;
mod models;
mod names;
mod organisations;
mod places;
mod seen;
mod services;
mod settings;

use core::fmt::Display;

use crate::check::names::Names;
use crate::check::places::Places;
use crate::check::seen::Seen;
use crate::document::draft::Draft;
use crate::path::Path;
use crate::source::Source;

/// What all checks need.
pub(crate) struct Context<'a> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) draft: &'a Draft,
    pub(crate) names: Names<'a>,
}

/// Checks all invariants and reports faults to the source.
pub(crate) fn run(source: &Source<'_>, draft: &Draft) {
    let context = Context {
        source,
        draft,
        names: Names::new(&source.root),
    };
    let mut places = Places::new(source);
    settings::check(&context);
    halves(&context);
    zones(&context);
    links::check(&context);
    models::check(&context);
    engines::check(&context, &mut places);
    cover::check(&context);
    services::check(&context, &mut places);
    organisations::check(&context);
}

fn halves(context: &Context<'_>) {
    let Some(halves) = &context.draft.halves else {
        return;
    };
    let path = Path::root("halves");
    if halves.is_empty() {
        let expected = "at least one half";
        context.source.fault(&path, "an empty list", expected);
    }
    let mut seen = Seen::new(context.source);
    for (index, half) in halves.iter().enumerate() {
        seen.unique(&path.index(index), half, half);
    }
}

fn zones(context: &Context<'_>) {
    let mut seen = Seen::new(context.source);
    let list = Path::root("zone");
    for (index, zone) in parts(&context.draft.zones) {
        seen.unique(&list.index(index).key("name"), &zone.name, &zone.name);
    }
}

/// Parts that could be read, with their indexes in the text.
pub(crate) fn parts<T>(list: &[Option<T>]) -> impl Iterator<Item = (usize, &T)> {
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
            self.source.fault(path, found, expected);
        }
    }

    /// Reports a half that the document does not name.
    pub(crate) fn half(&self, path: &Path<'_>, half: &str) {
        let known = self.draft.halves.is_none() || self.names.halves.contains(half);
        self.ensure(known, path, half, "one of the halves of this document");
    }

    /// Reports a zone that the document does not name.
    pub(crate) fn zone(&self, path: &Path<'_>, zone: &str) {
        let known = self.names.zones.contains(zone);
        self.ensure(known, path, zone, "one of the zones of this document");
    }
}
