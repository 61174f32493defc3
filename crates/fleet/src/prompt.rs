//! Parts of prompts.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use agatemill_core::Digest;

/// Maximum number of parts in a log line.
const MAX_SHOWN: usize = 32;

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

    /// The shared parts, for the log.
    #[must_use]
    pub fn summary(&self) -> Summary<'_> {
        Summary(&self.shared)
    }
}

/// Shows the first of some parts and the number of the others, so that log lines stay short.
#[derive(Clone, Copy, Debug)]
pub struct Summary<'a>(pub &'a [Segment]);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.len().min(MAX_SHOWN);
        f.debug_list().entries(&self.0[..shown]).finish()?;
        match self.0.len() - shown {
            0 => Ok(()),
            hidden => write!(f, " and {hidden} more"),
        }
    }
}

impl Segment {
    /// The part with an id as callers write it: usually a hexadecimal number of up to 64 bits. Any other text, such as a
    /// longer number, is represented by its digest, so that the part still counts.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        if let Ok(number) = u64::from_str_radix(id, 16) {
            return Self(number);
        }
        let digits = id.trim_start_matches('0').to_ascii_lowercase();
        Self(Digest::of(digits.as_bytes()).prefix())
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
