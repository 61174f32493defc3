//! Comparison of two documents.

use std::collections::HashMap;
use std::collections::HashSet;

use compact_str::CompactString;
use compact_str::ToCompactString;
use toml::Table;
use toml::Value;

use crate::abbreviation;
use crate::change::Change;
use crate::document::Document;
use agatemill_core::Digest;

/// Lists of tables, each with the keys that identify its entries.
const IDENTITY_KEYS: [(&str, &[&str]); 8] = [
    ("zone", &["name"]),
    ("link", &["from", "to"]),
    ("model", &["name", "version"]),
    ("engine", &["name"]),
    ("service", &["name"]),
    ("server", &["name"]),
    ("call", &["method", "path"]),
    ("organisation", &["name"]),
];

/// Returns the differences between two documents; empty when they are equal.
///
/// List entries are matched by their identifying keys, so an entry that only moved is reported as a change
/// of the order of its list.
///
/// # Panics
///
/// Never: every part of a document has a TOML form.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let table = |document| Table::try_from(document).expect("every part has a TOML form");
    let mut changes = Vec::new();
    compare_tables(&mut changes, "", &table(old), &table(new));
    changes
}

fn compare_tables(changes: &mut Vec<Change>, path: &str, old: &Table, new: &Table) {
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let field = join(path, key);
        match (old.get(key), new.get(key)) {
            (Some(old), Some(new)) => compare_values(changes, &field, key, old, new),
            (old, new) => report_unpaired(changes, field, old, new),
        }
    }
}

fn compare_values(changes: &mut Vec<Change>, field: &str, key: &str, old: &Value, new: &Value) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Table(old), Value::Table(new)) => compare_tables(changes, field, old, new),
        (Value::Array(old), Value::Array(new)) => compare_lists(changes, field, key, old, new),
        _ => changes.push(Change::Changed {
            field: field.into(),
            old: format_value(old),
            new: format_value(new),
        }),
    }
}

/// Compares two lists that differ.
fn compare_lists(changes: &mut Vec<Change>, field: &str, key: &str, old: &[Value], new: &[Value]) {
    let old_names = identities(key, old);
    let new_names = identities(key, new);
    let (Some(old_indexes), Some(new_indexes)) =
        (index_by_name(&old_names), index_by_name(&new_names))
    else {
        // An unchecked document may contain duplicate names; its lists are compared as a whole.
        changes.push(Change::Changed {
            field: field.into(),
            old: format_list(old),
            new: format_list(new),
        });
        return;
    };
    let added = new_names
        .iter()
        .filter(|name| !old_indexes.contains_key(*name));
    for name in old_names.iter().chain(added) {
        let before = old_indexes.get(name).map(|index| &old[*index]);
        let after = new_indexes.get(name).map(|index| &new[*index]);
        match (before, after) {
            (Some(Value::Table(before)), Some(Value::Table(after))) => {
                compare_tables(changes, &join(field, name), before, after);
            }
            (Some(Value::Table(_)), _) | (_, Some(Value::Table(_))) => {
                report_unpaired(changes, join(field, name), before, after);
            }
            _ => report_unpaired(changes, field.into(), before, after),
        }
    }
    compare_order(changes, field, &old_names, &new_names);
}

/// Reports entries of both lists whose order differs; the order of calls is significant.
fn compare_order(
    changes: &mut Vec<Change>,
    field: &str,
    old: &[CompactString],
    new: &[CompactString],
) {
    let common = |names: &[CompactString], other: &[CompactString]| -> Vec<CompactString> {
        let other: HashSet<_> = other.iter().collect();
        let both = names.iter().filter(|name| other.contains(name));
        both.cloned().collect()
    };
    let old_order = common(old, new);
    let new_order = common(new, old);
    if old_order != new_order {
        changes.push(Change::Changed {
            field: compact_str::format_compact!("{field} (order)"),
            old: old_order.join(", ").into(),
            new: new_order.join(", ").into(),
        });
    }
}

/// Returns the identifying name of each item of a list.
fn identities(key: &str, list: &[Value]) -> Vec<CompactString> {
    let keys = IDENTITY_KEYS.iter().find(|(list, _)| *list == key);
    let keys = keys.map_or(&[][..], |(_, keys)| keys);
    let name = |item: &Value| match item {
        Value::Table(table) => {
            let parts = keys.iter().filter_map(|key| table.get(*key)?.as_str());
            CompactString::from(parts.collect::<Vec<_>>().join(" "))
        }
        other => format_value(other),
    };
    list.iter().map(name).collect()
}

/// Maps each name to its index; `None` when there are duplicate names.
fn index_by_name(names: &[CompactString]) -> Option<HashMap<&CompactString, usize>> {
    let map: HashMap<_, _> = names.iter().zip(0..).collect();
    (map.len() == names.len()).then_some(map)
}

/// Reports a value that only one of the documents has.
fn report_unpaired(
    changes: &mut Vec<Change>,
    field: CompactString,
    old: Option<&Value>,
    new: Option<&Value>,
) {
    match (old, new) {
        (None, Some(new)) => changes.push(Change::Added {
            field,
            new: format_value(new),
        }),
        (Some(old), None) => changes.push(Change::Removed {
            field,
            old: format_value(old),
        }),
        _ => {}
    }
}

fn join(path: &str, key: &str) -> CompactString {
    if path.is_empty() {
        key.into()
    } else {
        compact_str::format_compact!("{path}.{key}")
    }
}

/// Formats a value as TOML on one line, with abbreviated digests.
fn format_value(value: &Value) -> CompactString {
    match value {
        Value::String(text) => text.parse::<Digest>().map_or_else(
            |_| value.to_compact_string(),
            |digest| abbreviation::digest(&digest),
        ),
        Value::Array(items) => format_list(items),
        Value::Table(table) => {
            let fields = table
                .iter()
                .map(|(key, value)| format!("{key} = {}", format_value(value)));
            let fields: Vec<_> = fields.collect();
            compact_str::format_compact!("{{ {} }}", fields.join(", "))
        }
        other => other.to_compact_string(),
    }
}

fn format_list(items: &[Value]) -> CompactString {
    let items: Vec<_> = items.iter().map(format_value).collect();
    compact_str::format_compact!("[{}]", items.join(", "))
}
