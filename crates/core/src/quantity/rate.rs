//! Rates of events.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Events per second, written `2.5/s`.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Rate {
    /// Invariant: finite and not negative.
    per_second: f64,
}

/// Error for a text or number that is not a rate.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "a rate is a number that is not negative, followed by /s, such as 2.5/s, found {found:?}"
)]
pub struct Invalid {
    /// The rejected text or number.
    pub found: CompactString,
}

impl Rate {
    /// Creates a rate from events per second.
    ///
    /// # Errors
    ///
    /// [`Invalid`] when the number is negative or not finite.
    pub fn new(per_second: f64) -> Result<Self, Invalid> {
        if per_second.is_finite() && per_second >= 0.0 {
            Ok(Self { per_second })
        } else {
            Err(Invalid {
                found: compact_str::format_compact!("{per_second}"),
            })
        }
    }

    /// The rate in events per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second)
    }
}

impl FromStr for Rate {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid {
            found: CompactString::new(text),
        };
        let number = text.strip_suffix("/s").ok_or_else(invalid)?;
        let per_second = number.trim().parse().map_err(|_| invalid())?;
        Self::new(per_second).map_err(|_| invalid())
    }
}

impl TryFrom<CompactString> for Rate {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Rate> for CompactString {
    fn from(rate: Rate) -> Self {
        compact_str::format_compact!("{rate}")
    }
}
