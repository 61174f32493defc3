//! Differences between two documents.

use compact_str::CompactString;
use derive_more::Display;

/// One difference between two documents. Values are displayed as TOML, with abbreviated token digests.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The new document has a field or an entry that the old one lacks.
    #[display("+ {field}: {new}")]
    Added {
        /// Path of the field; list entries appear under their identifying keys, as in `engine.e1.layers`.
        field: CompactString,
        /// Value in the new document.
        new: CompactString,
    },
    /// The old document has a field or an entry that the new one lacks.
    #[display("- {field}: {old}")]
    Removed {
        /// Path of the field.
        field: CompactString,
        /// Value in the old document.
        old: CompactString,
    },
    /// Both documents have the field, with different values.
    #[display("~ {field}: {old} => {new}")]
    Changed {
        /// Path of the field.
        field: CompactString,
        /// Value in the old document.
        old: CompactString,
        /// Value in the new document.
        new: CompactString,
    },
}
