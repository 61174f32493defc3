//! Durations.

use core::fmt;
use core::str::FromStr;
use core::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Units with their milliseconds; `ms` precedes `s`, because `s` is also a suffix of `ms`.
const UNITS: [(&str, u64); 5] = [
    ("ms", 1),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// A duration in whole milliseconds, written with a unit, such as `250ms`, `10s` or `7d`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Time {
    millis: u64,
}

/// Error for a text that is not a duration.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("a time is a whole number followed by ms, s, m, h or d, such as 250ms, found {found:?}")]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl Time {
    /// Creates a time from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self { millis }
    }

    /// The time in milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.millis
    }

    /// The time as a [`Duration`].
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.millis)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides =
            |(_, millis): &&(&str, u64)| self.millis != 0 && self.millis.is_multiple_of(*millis);
        let (unit, millis) = UNITS.iter().rev().find(divides).unwrap_or(&("ms", 1));
        write!(f, "{}{unit}", self.millis / millis)
    }
}

impl FromStr for Time {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid {
            found: CompactString::new(text),
        };
        let suffix = |(unit, millis): &(&str, u64)| Some((text.strip_suffix(unit)?, *millis));
        let (number, millis) = UNITS.iter().find_map(suffix).ok_or_else(invalid)?;
        let count: u64 = number.trim().parse().map_err(|_| invalid())?;
        count
            .checked_mul(millis)
            .map(Self::from_millis)
            .ok_or_else(invalid)
    }
}

impl TryFrom<CompactString> for Time {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Time> for CompactString {
    fn from(time: Time) -> Self {
        compact_str::format_compact!("{time}")
    }
}
