//! Reader of one TOML table.

use core::ops::Range;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::path::Path;
use crate::read::Read;
use crate::read::Scalar;
use crate::source::Source;

/// Reads the fields of one table and reports faults to the source.
pub(crate) struct Reader<'a> {
    source: &'a Source<'a>,
    table: &'a DeTable<'a>,
    /// Span of the table; faults of missing fields are reported at its start.
    span: Range<usize>,
    /// `None` for the document itself.
    path: Option<&'a Path<'a>>,
    /// Keys requested so far; any other key of the table is unknown.
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates the reader of the document as a whole.
    pub(crate) fn root(source: &'a Source<'a>) -> Self {
        Self {
            source,
            table: &source.root,
            span: 0..0,
            path: None,
            known: Vec::new(),
        }
    }

    /// Reads a required value.
    pub(crate) fn required<T: Scalar>(&mut self, key: &'static str) -> Option<T> {
        match self.get(key) {
            Some(value) => self.scalar(&self.path(key), value),
            None => self.report_missing(key, T::EXPECTED),
        }
    }

    /// Reads an optional value.
    pub(crate) fn optional<T: Scalar>(&mut self, key: &'static str, default: T) -> Option<T> {
        match self.get(key) {
            Some(value) => self.scalar(&self.path(key), value),
            None => Some(default),
        }
    }

    /// Reads an optional list of values.
    pub(crate) fn list<T: Scalar>(&mut self, key: &'static str) -> Option<Vec<T>> {
        let Some(value) = self.get(key) else {
            return Some(Vec::new());
        };
        let path = self.path(key);
        let DeValue::Array(items) = value.get_ref() else {
            let expected = format_args!("a list, each item {}", T::EXPECTED);
            self.source.report_at(&path, value.span(), expected);
            return None;
        };
        let read: Vec<_> = items
            .iter()
            .enumerate()
            .map(|(index, item)| self.scalar(&path.index(index), item))
            .collect();
        read.into_iter().collect()
    }

    /// Reads a required list of values.
    pub(crate) fn required_list<T: Scalar>(&mut self, key: &'static str) -> Option<Vec<T>> {
        if self.table.contains_key(key) {
            return self.list(key);
        }
        self.known.push(key);
        let expected = format!("a list, each item {}", T::EXPECTED);
        self.report_missing(key, &expected)
    }

    /// Reads an optional list of tables. Entries with faults are `None`, so that indexes match those of the
    /// document.
    pub(crate) fn tables<T: Read>(&mut self, key: &'static str) -> Vec<Option<T>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let path = self.path(key);
        let DeValue::Array(items) = value.get_ref() else {
            let expected = format_args!("a list of tables, [[{key}]]");
            self.source.report_at(&path, value.span(), expected);
            return vec![None];
        };
        items
            .iter()
            .enumerate()
            .map(|(index, item)| self.table(&path.index(index), item))
            .collect()
    }

    /// Reads a required list of tables; `None` when any of them has a fault.
    pub(crate) fn required_tables<T: Read>(&mut self, key: &'static str) -> Option<Vec<T>> {
        if self.table.contains_key(key) {
            return self.tables(key).into_iter().collect();
        }
        self.known.push(key);
        self.report_missing(key, "a list of tables")
    }

    /// Reads an optional table.
    pub(crate) fn optional_table<T: Read + Default>(&mut self, key: &'static str) -> Option<T> {
        match self.get(key) {
            Some(value) => self.table(&self.path(key), value),
            None => Some(T::default()),
        }
    }

    /// Reports the keys that were not requested.
    pub(crate) fn finish(&self) {
        let unknown = self.table.keys().filter(|key| {
            let name: &str = key.get_ref().as_ref();
            !self.known.contains(&name)
        });
        for key in unknown {
            let path = self.path(key.get_ref());
            let expected = format_args!("one of the keys {}", self.known.join(", "));
            self.source.report_at(&path, key.span(), expected);
        }
    }

    /// Looks up a key and records it as known.
    fn get(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known.push(key);
        self.table.get(key)
    }

    fn path<'b>(&'b self, key: &'b str) -> Path<'b> {
        self.path
            .map_or_else(|| Path::root(key), |path| path.key(key))
    }

    fn scalar<T: Scalar>(&self, path: &Path<'_>, value: &Spanned<DeValue<'_>>) -> Option<T> {
        let read = T::from_value(value.get_ref());
        if read.is_none() {
            self.source.report_at(path, value.span(), T::EXPECTED);
        }
        read
    }

    fn table<T: Read>(&self, path: &Path<'_>, value: &Spanned<DeValue<'_>>) -> Option<T> {
        let DeValue::Table(table) = value.get_ref() else {
            self.source.report_at(path, value.span(), "a table");
            return None;
        };
        let mut reader = Reader {
            source: self.source,
            table,
            span: value.span(),
            path: Some(path),
            known: Vec::new(),
        };
        let read = T::read(&mut reader);
        reader.finish();
        read
    }

    fn report_missing<T>(&self, key: &str, expected: &str) -> Option<T> {
        self.source
            .report_missing(&self.path(key), &self.span, expected);
        None
    }
}
