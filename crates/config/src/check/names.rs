//! Names that a document defines.

use std::collections::HashMap;
use std::collections::HashSet;

use toml::de::DeTable;

/// Names that a document defines, including those of entries with faults in other fields.
pub(crate) struct Names<'a> {
    pub(crate) halves: HashSet<&'a str>,
    pub(crate) zones: HashSet<&'a str>,
    /// Pairs of a model name and a version.
    pub(crate) model_versions: HashSet<(&'a str, &'a str)>,
    pub(crate) models: HashSet<&'a str>,
    /// Pairs of a half and a model that an engine of the half serves.
    pub(crate) served_models: HashSet<(&'a str, &'a str)>,
    /// Services with their halves; the half is empty when the entry lacks it.
    pub(crate) services: HashMap<&'a str, &'a str>,
}

impl<'a> Names<'a> {
    pub(crate) fn new(root: &'a DeTable<'a>) -> Self {
        let halves = root
            .get("halves")
            .and_then(|value| value.get_ref().as_array());
        let halves = halves.into_iter().flat_map(|list| list.iter());
        let mut services = HashMap::new();
        for (name, half) in entries(root, "service").filter_map(service) {
            // Of two services with the same name, the second is reported as a fault.
            services.entry(name).or_insert(half);
        }
        Self {
            halves: halves.filter_map(|half| half.get_ref().as_str()).collect(),
            zones: entries(root, "zone")
                .filter_map(|zone| text(zone, "name"))
                .collect(),
            model_versions: entries(root, "model").filter_map(model_version).collect(),
            models: entries(root, "model")
                .filter_map(|model| text(model, "name"))
                .collect(),
            served_models: entries(root, "engine").filter_map(served_model).collect(),
            services,
        }
    }
}

fn entries<'a>(root: &'a DeTable<'a>, list: &str) -> impl Iterator<Item = &'a DeTable<'a>> {
    let list = root.get(list).and_then(|value| value.get_ref().as_array());
    let items = list.into_iter().flat_map(|list| list.iter());
    items.filter_map(|item| item.get_ref().as_table())
}

fn text<'a>(table: &'a DeTable<'a>, key: &str) -> Option<&'a str> {
    table.get(key)?.get_ref().as_str()
}

fn model_version<'a>(model: &'a DeTable<'a>) -> Option<(&'a str, &'a str)> {
    Some((text(model, "name")?, text(model, "version")?))
}

fn served_model<'a>(engine: &'a DeTable<'a>) -> Option<(&'a str, &'a str)> {
    Some((text(engine, "half")?, text(engine, "model")?))
}

fn service<'a>(service: &'a DeTable<'a>) -> Option<(&'a str, &'a str)> {
    Some((
        text(service, "name")?,
        text(service, "half").unwrap_or_default(),
    ))
}
