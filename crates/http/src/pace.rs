//! Rate at which the body of a response has to arrive.

use core::time::Duration;

/// Rate at which the body of a response has to arrive. A body that keeps it is read to its end, however long that takes:
/// when many clients share a link, those that give up and start again only add to its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Minimum number of bytes in each period, unless the body ends in it.
    pub bytes: usize,
    /// Length of a period.
    pub period: Duration,
}
