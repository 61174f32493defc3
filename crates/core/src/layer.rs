//! Ranges of model layers.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// A non-empty, half-open range of layers, written `0..8`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Range {
    /// Invariant: `start < end`.
    start: u32,
    end: u32,
}

/// Why a text or a pair of numbers is not a layer range.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The text is not two numbers with `..` between them.
    #[display("a layer range is written START..END, such as 0..8, found {found:?}")]
    Syntax {
        /// The rejected text.
        found: CompactString,
    },
    /// The range contains no layer.
    #[display("a layer range must hold at least one layer, found {start}..{end}")]
    Empty {
        /// First layer.
        start: u32,
        /// Layer after the last.
        end: u32,
    },
}

impl Range {
    /// Creates the range of the layers from `start` up to but not including `end`.
    ///
    /// # Errors
    ///
    /// [`Invalid::Empty`] when `start` is not below `end`.
    pub fn new(start: u32, end: u32) -> Result<Self, Invalid> {
        if start < end {
            Ok(Self { start, end })
        } else {
            Err(Invalid::Empty { start, end })
        }
    }

    /// First layer.
    #[must_use]
    pub fn start(self) -> u32 {
        self.start
    }

    /// Layer after the last.
    #[must_use]
    pub fn end(self) -> u32 {
        self.end
    }

    /// Number of layers, at least 1.
    #[must_use]
    pub fn count(self) -> u32 {
        self.end - self.start
    }

    /// Whether every layer of `other` is in this range.
    #[must_use]
    pub fn contains(self, other: Self) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

impl FromStr for Range {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let syntax = || Invalid::Syntax {
            found: CompactString::new(text),
        };
        let (start, end) = text.split_once("..").ok_or_else(syntax)?;
        let start = start.parse().map_err(|_| syntax())?;
        let end = end.parse().map_err(|_| syntax())?;
        Self::new(start, end)
    }
}

impl TryFrom<CompactString> for Range {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Range> for CompactString {
    fn from(range: Range) -> Self {
        compact_str::format_compact!("{range}")
    }
}
