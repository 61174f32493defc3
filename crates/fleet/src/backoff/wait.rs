//! Time for which a server wants no requests.

use core::fmt;
use core::str::FromStr;
use core::time::Duration;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Longest time that a server may name. A longer one is taken for an error of the server, which would leave it unused
/// until the host restarts.
pub const MAX: Duration = Duration::from_hours(1);

/// Maximum number of characters of a rejected text that are kept.
const MAX_FOUND_CHARS: usize = 40;

/// Time for which a server wants no requests; written in seconds, which may have a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Wait {
    /// Invariant: at most [`MAX`].
    time: Duration,
}

/// Error for a text that is not a wait.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("a wait is a number of seconds from 0 to 3600, such as 1.5, found {found:?}")]
pub struct Invalid {
    /// The start of the rejected text.
    pub found: CompactString,
}

impl Wait {
    /// The time.
    #[must_use]
    pub fn time(self) -> Duration {
        self.time
    }
}

impl FromStr for Wait {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let seconds = text.trim().parse().ok();
        let time = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        time.filter(|time| *time <= MAX)
            .map(|time| Self { time })
            .ok_or_else(|| Invalid {
                found: text.chars().take(MAX_FOUND_CHARS).collect(),
            })
    }
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.time.as_secs_f64())
    }
}
