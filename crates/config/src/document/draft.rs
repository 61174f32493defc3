//! A document whose parts may have faults.

use crate::document::Document;
use crate::document::Engine;
use crate::document::Link;
use crate::document::Model;
use crate::document::Organisation;
use crate::document::Service;
use crate::document::Settings;
use crate::document::Zone;
use crate::read::Reader;
use crate::source::Source;
use agatemill_core::id;

/// The parts of a document. `None` stands for a part with a fault, so that an index here is the index in
/// the text.
pub(crate) struct Draft {
    pub(crate) settings: Option<Settings>,
    pub(crate) halves: Option<Vec<id::Half>>,
    pub(crate) zones: Vec<Option<Zone>>,
    pub(crate) links: Vec<Option<Link>>,
    pub(crate) models: Vec<Option<Model>>,
    pub(crate) engines: Vec<Option<Engine>>,
    pub(crate) services: Vec<Option<Service>>,
    pub(crate) organisations: Vec<Option<Organisation>>,
}

impl Draft {
    /// Reads all parts and reports faults to the source.
    pub(crate) fn read(source: &Source<'_>) -> Self {
        let mut reader = Reader::root(source);
        let draft = Self {
            settings: reader.section("settings"),
            halves: reader.required_list("halves"),
            zones: reader.tables("zone"),
            links: reader.tables("link"),
            models: reader.tables("model"),
            engines: reader.tables("engine"),
            services: reader.tables("service"),
            organisations: reader.tables("organisation"),
        };
        reader.finish();
        draft
    }

    /// The document; `None` when a part has a fault.
    pub(crate) fn complete(self) -> Option<Document> {
        Some(Document {
            settings: self.settings?,
            halves: self.halves?,
            zones: whole(self.zones)?,
            links: whole(self.links)?,
            models: whole(self.models)?,
            engines: whole(self.engines)?,
            services: whole(self.services)?,
            organisations: whole(self.organisations)?,
        })
    }
}

fn whole<T>(parts: Vec<Option<T>>) -> Option<Vec<T>> {
    parts.into_iter().collect()
}
