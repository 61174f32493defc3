//! Parts of prompts.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Id of a part of a prompt, such as a system prompt or a document. Equal parts have equal ids.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Segment(pub u64);

/// The parts of the prompt of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts that other requests may share, in order.
    pub shared: Vec<Segment>,
    /// The part that belongs to the request or its session alone, and to its repeats.
    pub own: Option<Segment>,
}

impl Prompt {
    /// All parts, in order.
    pub fn segments(&self) -> impl Iterator<Item = Segment> {
        self.shared.iter().copied().chain(self.own)
    }

    /// Whether a part is one of the prompt.
    #[must_use]
    pub fn contains(&self, segment: Segment) -> bool {
        self.segments().any(|own| own == segment)
    }
}

/// Error for a text that is not the id of a part of a prompt.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{found:?} is not a hexadecimal number of up to 64 bits")]
pub struct Invalid {
    /// The rejected text.
    pub found: CompactString,
}

impl fmt::Display for Segment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl fmt::Debug for Segment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Segment {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| Invalid { found: text.into() })
    }
}
