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

/// Why a settings file was not taken.
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
    /// The file holds something that is not expected.
    #[display("{}:{line}: {key}: {reason}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Key in dotted form, or `(file)` when the file as a whole is at fault.
        key: CompactString,
        /// What was found and what is expected.
        reason: String,
    },
}

/// Reads the settings of a program from a TOML file. Keys that `T` does not know are refused.
///
/// # Errors
///
/// [`Error::Read`] when the file cannot be read, [`Error::Invalid`] with line, key and what is expected
/// when its content does not fit `T`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Reads settings from a text; `path` only names the source in errors.
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
        // An optional table appears as a step `?` of its own.
        let key = || key.to_compact_string().replace(".?", "").into();
        unknown.get_or_insert_with(key);
    });
    let value = result.map_err(|error: toml::de::Error| {
        let span = error.span().unwrap_or(0..0);
        let key = key_at(root.get_ref(), &span);
        invalid(span, key, error.message())
    })?;
    match unknown {
        Some(key) => {
            let span = span_of(root.get_ref(), &key).unwrap_or(0..0);
            let reason = "unknown key, expected only keys that the program knows";
            Err(invalid(span, Some(key), reason))
        }
        None => Ok(value),
    }
}

/// Dotted key of the entry whose key or value holds `span`.
fn key_at(table: &DeTable<'_>, span: &Range<usize>) -> Option<CompactString> {
    table.iter().find_map(|(key, value)| {
        let name = key.get_ref();
        let below = child_at(value, span);
        if let Some(below) = below {
            return Some(compact_str::format_compact!("{name}{below}"));
        }
        let here = holds(&key.span(), span) || holds(&value.span(), span);
        here.then(|| CompactString::from(name.as_ref()))
    })
}

/// Rest of the dotted key below `value`, such as `.port` or `[2]`.
fn child_at(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> Option<CompactString> {
    match value.get_ref() {
        DeValue::Table(table) => {
            key_at(table, span).map(|key| compact_str::format_compact!(".{key}"))
        }
        DeValue::Array(items) => items.iter().enumerate().find_map(|(index, item)| {
            let below = child_at(item, span);
            let below = below.or_else(|| holds(&item.span(), span).then(CompactString::default))?;
            Some(compact_str::format_compact!("[{index}]{below}"))
        }),
        _ => None,
    }
}

fn holds(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end && !inner.is_empty()
}

/// Where the key with this dotted form, as `serde_ignored` writes it, stands in the text.
fn span_of(root: &DeTable<'_>, dotted: &str) -> Option<Range<usize>> {
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
