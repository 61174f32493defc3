//! Throughput of a network link.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Bits in a megabit, the unit of the text form.
const MEGABIT: f64 = 1_000_000.0;

/// Throughput of a network link, written `20Mbit/s`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Bandwidth {
    /// Bits a second.
    pub bits_per_s: u64,
}

/// Error for a text that is not a bandwidth.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "a bandwidth is a number that is not negative, followed by Mbit/s, such as 20Mbit/s, found {found:?}"
)]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Exact below 2^53 bits a second.
        #[allow(clippy::cast_precision_loss)]
        let megabits = self.bits_per_s as f64 / MEGABIT;
        write!(f, "{megabits}Mbit/s")
    }
}

impl FromStr for Bandwidth {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid {
            found: CompactString::new(text),
        };
        let number = text.strip_suffix("Mbit/s").ok_or_else(invalid)?;
        let megabits: f64 = number.trim().parse().map_err(|_| invalid())?;
        let bits = (megabits * MEGABIT).round();
        if !bits.is_finite() || bits < 0.0 {
            return Err(invalid());
        }
        // Not negative, and the conversion saturates.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bits_per_s = bits as u64;
        Ok(Self { bits_per_s })
    }
}

impl TryFrom<CompactString> for Bandwidth {
    type Error = Invalid;

    fn try_from(text: CompactString) -> Result<Self, Invalid> {
        text.parse()
    }
}

impl From<Bandwidth> for CompactString {
    fn from(bandwidth: Bandwidth) -> Self {
        compact_str::format_compact!("{bandwidth}")
    }
}
