//! Source text of a document, with the faults found so far.

use core::cell::RefCell;
use core::fmt;
use core::ops::Range;

use compact_str::CompactString;
use compact_str::ToCompactString;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Fault;
use crate::fault::Faults;
use crate::lines::Lines;
use crate::path::Path;
use crate::path::Step;

/// Maximum length of a quote from the document in a fault, in characters.
const MAX_QUOTE_CHARS: usize = 60;

/// The text of a document, its TOML tree, and the faults found so far.
pub(crate) struct Source<'a> {
    text: &'a str,
    lines: Lines,
    pub(crate) root: DeTable<'a>,
    faults: RefCell<Vec<Fault>>,
}

impl<'a> Source<'a> {
    /// Parses the text as TOML. A syntax error is reported alone, because the text after it cannot be
    /// interpreted.
    pub(crate) fn new(text: &'a str) -> Result<Self, Faults> {
        let lines = Lines::new(text);
        match DeTable::parse(text) {
            Ok(root) => Ok(Self {
                text,
                lines,
                root: root.into_inner(),
                faults: RefCell::default(),
            }),
            Err(error) => {
                let span = error.span().unwrap_or(0..0);
                let fault = Fault {
                    field: CompactString::const_new("(document)"),
                    line: lines.line(span.start),
                    found: quote(text, span),
                    expected: compact_str::format_compact!("valid TOML: {}", error.message()),
                };
                Err(Faults::collect(vec![fault]).expect("one fault was given"))
            }
        }
    }

    /// Reports a fault located at `span`, and quotes its text as the value found.
    pub(crate) fn report_at(
        &self,
        path: &Path<'_>,
        span: Range<usize>,
        expected: impl fmt::Display,
    ) {
        let found = quote(self.text, span.clone());
        self.push(path, span.start, found, &expected);
    }

    /// Reports that the entry that starts at `span` lacks a field.
    pub(crate) fn report_missing(
        &self,
        path: &Path<'_>,
        span: &Range<usize>,
        expected: impl fmt::Display,
    ) {
        let found = CompactString::const_new("nothing");
        self.push(path, span.start, found, &expected);
    }

    /// Reports a fault of a parsed value, whose line is looked up in the tree.
    pub(crate) fn report(
        &self,
        path: &Path<'_>,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) {
        let offset = self.offset(path);
        self.push(path, offset, found.to_compact_string(), &expected);
    }

    /// Returns the reported faults as an error, if there are any.
    pub(crate) fn finish(self) -> Result<(), Faults> {
        Faults::collect(self.faults.into_inner()).map_or(Ok(()), Err)
    }

    /// Returns the line of a field or, if the text lacks it, of its innermost enclosing entry.
    pub(crate) fn line(&self, path: &Path<'_>) -> usize {
        self.lines.line(self.offset(path))
    }

    fn push(
        &self,
        path: &Path<'_>,
        offset: usize,
        found: CompactString,
        expected: &dyn fmt::Display,
    ) {
        self.faults.borrow_mut().push(Fault {
            field: path.to_compact_string(),
            line: self.lines.line(offset),
            found,
            expected: expected.to_compact_string(),
        });
    }

    fn offset(&self, path: &Path<'_>) -> usize {
        let mut steps = path.steps().into_iter();
        let Some(Step::Key(first)) = steps.next() else {
            return 0;
        };
        let Some((key, mut value)) = self.root.get_key_value(first) else {
            return 0;
        };
        let mut offset = key.span().start;
        for step in steps {
            let below = match (value.get_ref(), step) {
                (DeValue::Table(table), Step::Key(key)) => table
                    .get_key_value(key)
                    .map(|(key, value)| (key.span().start, value)),
                (DeValue::Array(items), Step::Index(index)) => {
                    items.get(index).map(|item| (item.span().start, item))
                }
                _ => None,
            };
            let Some((start, item)) = below else {
                return offset;
            };
            offset = start;
            value = item;
        }
        offset
    }
}

/// Returns the first line of the text of a span, truncated.
fn quote(text: &str, span: Range<usize>) -> CompactString {
    let piece = text.get(span).unwrap_or_default();
    let line = piece.lines().next().unwrap_or_default().trim();
    if line.is_empty() {
        return CompactString::const_new("nothing");
    }
    let mut quoted: CompactString = line.chars().take(MAX_QUOTE_CHARS).collect();
    if quoted.len() < line.len() || piece.trim().len() > line.len() {
        quoted.push('…');
    }
    quoted
}
