//! Conversion of a TOML tree into the parts of a document.
//!
//! Each field is read separately instead of by one `serde` call for the document, because `serde` stops at
//! the first error and operators need to see all errors at once.

pub(crate) mod reader;
pub(crate) mod scalar;

pub(crate) use reader::Reader;
pub(crate) use scalar::Scalar;

/// A part of the document that is read from a TOML table.
pub(crate) trait Read: Sized {
    /// Reads all fields and reports every fault; `None` when there is any.
    fn read(reader: &mut Reader<'_>) -> Option<Self>;
}
