//! Abbreviated values for display to operators.

use compact_str::CompactString;

use agatemill_core::Digest;

/// Number of hexadecimal digits shown of a digest: enough to distinguish the tokens of a document.
const DIGEST_DIGITS: usize = 12;

/// Formats the first digits of a digest.
pub(crate) fn digest(digest: &Digest) -> CompactString {
    let digits: CompactString = digest.to_string().chars().take(DIGEST_DIGITS).collect();
    compact_str::format_compact!("{digits}…")
}
