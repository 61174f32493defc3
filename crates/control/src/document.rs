//! Check of documents that arrive.

use compact_str::CompactString;

use agatemill_config::Document;

/// Parses a document; the only place where a control does so.
///
/// # Errors
///
/// What is wrong with it, for the log.
pub fn parse(text: &str) -> Result<Document, CompactString> {
    Document::parse(text).map_err(|error| compact_str::format_compact!("{error}"))
}
