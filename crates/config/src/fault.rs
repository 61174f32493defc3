//! Faults of a document.

use core::fmt;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// One fault of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {field}: found {found}, expected {expected}")]
pub struct Fault {
    /// Path of the field, such as `engine[3].layers`; indexes count from 0.
    pub field: CompactString,
    /// Line of the field, or of the entry that lacks it, counted from 1.
    pub line: usize,
    /// Value found in the document.
    pub found: CompactString,
    /// Description of the expected value.
    pub expected: CompactString,
}

/// All faults of a document, sorted by line; never empty.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Faults(#[error(not(source))] Vec<Fault>);

impl Faults {
    /// Sorts the faults by line. `None` when there are none.
    pub(crate) fn collect(mut faults: Vec<Fault>) -> Option<Self> {
        faults.sort_by_key(|fault| fault.line);
        (!faults.is_empty()).then_some(Self(faults))
    }

    /// The faults, sorted by line.
    #[must_use]
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, rest) = self.0.split_first().expect("a list of faults is not empty");
        write!(f, "{first}")?;
        rest.iter().try_for_each(|fault| write!(f, "\n{fault}"))
    }
}
