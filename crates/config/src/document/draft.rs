//! Partially parsed documents.

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

/// The parsed parts of a document. A part with a fault is `None`, so that indexes match those in the text.
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
    /// Reads all parts and reports their faults to the source.
    pub(crate) fn read(source: &Source<'_>) -> Self {
        let mut reader = Reader::root(source);
        let draft = Self {
            settings: reader.optional_table("settings"),
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

    /// Converts the draft into a document; `None` when a part has a fault.
    pub(crate) fn into_document(self) -> Option<Document> {
        Some(Document {
            settings: self.settings?,
            halves: self.halves?,
            zones: all_or_none(self.zones)?,
            links: all_or_none(self.links)?,
            models: all_or_none(self.models)?,
            engines: all_or_none(self.engines)?,
            services: all_or_none(self.services)?,
            organisations: all_or_none(self.organisations)?,
        })
    }
}

fn all_or_none<T>(parts: Vec<Option<T>>) -> Option<Vec<T>> {
    parts.into_iter().collect()
}
