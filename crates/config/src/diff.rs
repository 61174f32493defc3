//! Comparing two documents.

use std::collections::HashMap;
use std::collections::HashSet;

use compact_str::CompactString;
use compact_str::ToCompactString;
use toml::Table;
use toml::Value;

use crate::change::Change;
use crate::document::Document;
use crate::short;
use agatemill_core::Digest;

/// Lists of tables with the keys that identify an entry.
const IDENTITIES: [(&str, &[&str]); 8] = [
    ("zone", &["name"]),
    ("link", &["from", "to"]),
    ("model", &["name", "version"]),
    ("engine", &["name"]),
    ("service", &["name"]),
    ("server", &["name"]),
    ("call", &["method", "path"]),
    ("organisation", &["name"]),
];

/// Lists the differences between two documents; none when they are equal.
///
/// Entries are compared by what identifies them, so an entry that only moved is reported as a change of
/// the order of its list.
///
/// # Panics
///
/// Never: every part of a document has a TOML form.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let table = |document| Table::try_from(document).expect("every part has a TOML form");
    let mut changes = Vec::new();
    tables(&mut changes, "", &table(old), &table(new));
    changes
}

fn tables(changes: &mut Vec<Change>, path: &str, old: &Table, new: &Table) {
    let added = new.keys().filter(|key| !old.contains_key(*key));
    for key in old.keys().chain(added) {
        let field = join(path, key);
        match (old.get(key), new.get(key)) {
            (Some(old), Some(new)) => values(changes, &field, key, old, new),
            (old, new) => present(changes, field, old, new),
        }
    }
}

fn values(changes: &mut Vec<Change>, field: &str, key: &str, old: &Value, new: &Value) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Table(old), Value::Table(new)) => tables(changes, field, old, new),
        (Value::Array(old), Value::Array(new)) => lists(changes, field, key, old, new),
        _ => changes.push(Change::Changed {
            field: field.into(),
            old: show(old),
            new: show(new),
        }),
    }
}

/// Compares two lists that differ.
fn lists(changes: &mut Vec<Change>, field: &str, key: &str, old: &[Value], new: &[Value]) {
    let old_names = identities(key, old);
    let new_names = identities(key, new);
    let (Some(old_at), Some(new_at)) = (by_name(&old_names), by_name(&new_names)) else {
        // A document that was not checked may have a name twice; its lists are compared as a whole.
        changes.push(Change::Changed {
            field: field.into(),
            old: show_list(old),
            new: show_list(new),
        });
        return;
    };
    let added = new_names.iter().filter(|name| !old_at.contains_key(*name));
    for name in old_names.iter().chain(added) {
        let before = old_at.get(name).map(|index| &old[*index]);
        let after = new_at.get(name).map(|index| &new[*index]);
        match (before, after) {
            (Some(Value::Table(before)), Some(Value::Table(after))) => {
                tables(changes, &join(field, name), before, after);
            }
            (Some(Value::Table(_)), _) | (_, Some(Value::Table(_))) => {
                present(changes, join(field, name), before, after);
            }
            _ => present(changes, field.into(), before, after),
        }
    }
    order(changes, field, &old_names, &new_names);
}

/// Reports entries of both lists that stand in another order, which matters for calls.
fn order(changes: &mut Vec<Change>, field: &str, old: &[CompactString], new: &[CompactString]) {
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

/// What identifies each item of a list.
fn identities(key: &str, list: &[Value]) -> Vec<CompactString> {
    let keys = IDENTITIES.iter().find(|(list, _)| *list == key);
    let keys = keys.map_or(&[][..], |(_, keys)| keys);
    let name = |item: &Value| match item {
        Value::Table(table) => {
            let parts = keys.iter().filter_map(|key| table.get(*key)?.as_str());
            CompactString::from(parts.collect::<Vec<_>>().join(" "))
        }
        other => show(other),
    };
    list.iter().map(name).collect()
}

/// Index of each name; `None` when a name stands there twice.
fn by_name(names: &[CompactString]) -> Option<HashMap<&CompactString, usize>> {
    let map: HashMap<_, _> = names.iter().zip(0..).collect();
    (map.len() == names.len()).then_some(map)
}

/// Reports a value that only one side has.
fn present(
    changes: &mut Vec<Change>,
    field: CompactString,
    old: Option<&Value>,
    new: Option<&Value>,
) {
    match (old, new) {
        (None, Some(new)) => changes.push(Change::Added {
            field,
            new: show(new),
        }),
        (Some(old), None) => changes.push(Change::Removed {
            field,
            old: show(old),
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

/// A value as TOML on one line, with shortened digests.
fn show(value: &Value) -> CompactString {
    match value {
        Value::String(text) => text.parse::<Digest>().map_or_else(
            |_| value.to_compact_string(),
            |digest| short::digest(&digest),
        ),
        Value::Array(items) => show_list(items),
        Value::Table(table) => {
            let fields = table
                .iter()
                .map(|(key, value)| format!("{key} = {}", show(value)));
            let fields: Vec<_> = fields.collect();
            compact_str::format_compact!("{{ {} }}", fields.join(", "))
        }
        other => other.to_compact_string(),
    }
}

fn show_list(items: &[Value]) -> CompactString {
    let items: Vec<_> = items.iter().map(show).collect();
    compact_str::format_compact!("[{}]", items.join(", "))
}
