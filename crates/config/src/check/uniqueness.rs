//! Checks that values are unique.

use core::fmt::Display;
use core::hash::Hash;
use std::collections::HashMap;

use crate::path::Path;
use crate::source::Source;

/// Unique values found so far, with the line of their first occurrence.
pub(crate) struct Uniqueness<'a, K> {
    source: &'a Source<'a>,
    first: HashMap<K, usize>,
}

impl<'a, K: Eq + Hash> Uniqueness<'a, K> {
    pub(crate) fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            first: HashMap::new(),
        }
    }

    /// Records the value, or reports it as a duplicate.
    pub(crate) fn check(&mut self, path: &Path<'_>, key: K, found: impl Display) {
        match self.first.get(&key) {
            Some(line) => {
                let expected = format_args!("a value that line {line} does not have already");
                self.source.report(path, found, expected);
            }
            None => {
                self.first.insert(key, self.source.line(path));
            }
        }
    }
}
