//! Reading the parts of a document from a TOML tree.
//!
//! Each field is read on its own instead of by one `serde` call for the document, because `serde` ends at
//! the first error and operators are to see all of them at once.

pub(crate) mod leaf;
pub(crate) mod reader;

pub(crate) use leaf::Leaf;
pub(crate) use reader::Reader;

/// A part of the document that is read from a TOML table.
pub(crate) trait Read: Sized {
    /// Reads all fields and reports every fault; `None` when there was one.
    fn read(reader: &mut Reader<'_>) -> Option<Self>;
}
