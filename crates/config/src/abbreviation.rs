//! Shortened texts for operators.

use compact_str::CompactString;

use agatemill_core::Digest;

/// Hexadecimal digits that are shown of a digest: enough to tell the tokens of a document apart.
const DIGEST_DIGITS: usize = 12;

/// First digits of a digest.
pub(crate) fn digest(digest: &Digest) -> CompactString {
    let digits: CompactString = digest.to_string().chars().take(DIGEST_DIGITS).collect();
    compact_str::format_compact!("{digits}…")
}
