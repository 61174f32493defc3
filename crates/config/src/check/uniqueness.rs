//! Values that may appear once.

use core::fmt::Display;
use core::hash::Hash;
use std::collections::HashMap;

use crate::path::Path;
use crate::source::Source;

/// Values seen so far, with the line of the first.
pub(crate) struct Seen<'a, K> {
    source: &'a Source<'a>,
    first: HashMap<K, usize>,
}

impl<'a, K: Eq + Hash> Seen<'a, K> {
    pub(crate) fn new(source: &'a Source<'a>) -> Self {
        Self {
            source,
            first: HashMap::new(),
        }
    }

    /// Reports the value if it was seen before.
    pub(crate) fn unique(&mut self, path: &Path<'_>, key: K, found: impl Display) {
        match self.first.get(&key) {
            Some(line) => {
                let expected = format_args!("a value that line {line} does not have already");
                self.source.fault(path, found, expected);
            }
            None => {
                self.first.insert(key, self.source.line(path));
            }
        }
    }
}
