//! Parsing of received documents.

use compact_str::CompactString;

use agatemill_config::Document;

/// Parses a document. All parsing in the control goes through this function.
///
/// # Errors
///
/// Why the document is not valid, as text for the log.
pub fn parse(text: &str) -> Result<Document, CompactString> {
    Document::parse(text).map_err(|error| compact_str::format_compact!("{error}"))
}
