//! Settings files of the programs.

use core::ops::Range;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use compact_str::CompactString;
use compact_str::ToCompactString;
use derive_more::Display;
use derive_more::Error;
use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::lines::Lines;

/// Why a settings file was rejected.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file could not be read.
    #[display("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file has an unexpected key or value.
    #[display("{}:{line}: {key}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Key in dotted form, or `(file)` when the file as a whole is at fault.
        key: CompactString,
        /// Description of what was found and what is expected.
        reason: String,
    },
}

/// Reads the settings of a program from a TOML file. Keys unknown to `T` are rejected.
///
/// # Errors
///
/// [`Error::Read`] when the file cannot be read, [`Error::Invalid`] with the line, the key and what is
/// expected when its content does not match `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Parses settings from a text; `path` is only used in errors.
///
/// # Errors
///
/// [`Error::Invalid`] as for [`load`].
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let invalid = |span: Range<usize>, key: Option<CompactString>, reason: &str| Error::Invalid {
        path: path.to_owned(),
        line: Lines::new(text).line(span.start),
        key: key.unwrap_or_else(|| CompactString::const_new("(file)")),
        reason: reason.to_owned(),
    };
    let root = DeTable::parse(text).map_err(|error| {
        let reason = format!("not valid TOML: {}", error.message());
        invalid(error.span().unwrap_or(0..0), None, &reason)
    })?;
    let mut unknown: Option<CompactString> = None;
    let source = toml::de::Deserializer::from(root.clone());
    let result = serde_ignored::deserialize(source, |key| {
        // `serde_ignored` represents an optional table by an additional step `?`.
        let key = || key.to_compact_string().replace(".?", "").into();
        unknown.get_or_insert_with(key);
    });
    let value = result.map_err(|error: toml::de::Error| {
        let span = error.span().unwrap_or(0..0);
        let key = key_containing(root.get_ref(), &span);
        invalid(span, key, error.message())
    })?;
    match unknown {
        Some(key) => {
            let span = span_of_key(root.get_ref(), &key).unwrap_or(0..0);
            let reason = "unknown key, expected only keys that the program knows";
            Err(invalid(span, Some(key), reason))
        }
        None => Ok(value),
    }
}

/// Finds the dotted key of the entry whose key or value contains `span`.
fn key_containing(table: &DeTable<'_>, span: &Range<usize>) -> Option<CompactString> {
    table.iter().find_map(|(key, value)| {
        let name = key.get_ref();
        let below = subkey_containing(value, span);
        if let Some(below) = below {
            return Some(compact_str::format_compact!("{name}{below}"));
        }
        let here = contains_span(&key.span(), span) || contains_span(&value.span(), span);
        here.then(|| CompactString::from(name.as_ref()))
    })
}

/// Finds the remainder of the dotted key below `value`, such as `.port` or `[2]`.
fn subkey_containing(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> Option<CompactString> {
    match value.get_ref() {
        DeValue::Table(table) => {
            key_containing(table, span).map(|key| compact_str::format_compact!(".{key}"))
        }
        DeValue::Array(items) => items.iter().enumerate().find_map(|(index, item)| {
            let below = subkey_containing(item, span);
            let below =
                below.or_else(|| contains_span(&item.span(), span).then(CompactString::default))?;
            Some(compact_str::format_compact!("[{index}]{below}"))
        }),
        _ => None,
    }
}

fn contains_span(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end && !inner.is_empty()
}

/// Finds the span of a key from its dotted form, as written by `serde_ignored`.
fn span_of_key(root: &DeTable<'_>, dotted: &str) -> Option<Range<usize>> {
    let mut keys = dotted.split('.');
    let (key, mut value) = root.get_key_value(keys.next()?)?;
    let mut span = key.span();
    for key in keys {
        match value.get_ref() {
            DeValue::Table(table) => {
                let (found, below) = table.get_key_value(key)?;
                span = found.span();
                value = below;
            }
            DeValue::Array(items) => value = items.get(key.parse::<usize>().ok()?)?,
            _ => return Some(span),
        }
    }
    Some(span)
}
