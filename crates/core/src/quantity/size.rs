//! Sizes in bytes.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Units with their sizes in bytes, largest first.
const UNITS: [(&str, u64); 5] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("MB", 1_000_000),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A number of bytes, written with a binary unit or in `MB` of a million bytes, such as `64KiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Size(pub u64);

/// Error for a text that is not a size.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "a size is a whole number followed by B, KiB, MB, MiB or GiB, such as 64KiB, found {found:?}"
)]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl Size {
    /// The size as a `usize`, saturated at `usize::MAX`.
    #[must_use]
    pub fn to_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, bytes): &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(*bytes);
        let (unit, bytes) = UNITS.iter().find(divides).unwrap_or(&("B", 1));
        write!(f, "{}{unit}", self.0 / bytes)
    }
}

impl FromStr for Size {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid {
            found: CompactString::new(text),
        };
        let suffix = |(unit, bytes): &(&str, u64)| Some((text.strip_suffix(unit)?, *bytes));
        let (number, bytes) = UNITS.iter().find_map(suffix).ok_or_else(invalid)?;
        let number = number.trim();
        // Platforms render a size such as 160 also as 160.0.
        let whole = number.trim_end_matches('0').strip_suffix('.');
        let count: u64 = whole.unwrap_or(number).parse().map_err(|_| invalid())?;
        count.checked_mul(bytes).map(Self).ok_or_else(invalid)
    }
}

impl TryFrom<CompactString> for Size {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Size> for CompactString {
    fn from(size: Size) -> Self {
        compact_str::format_compact!("{size}")
    }
}
