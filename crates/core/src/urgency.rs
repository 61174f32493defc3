//! Urgency of requests.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Priority;

/// Urgency of a request; the least value is served first.
///
/// The rank of the organisation comes before that of the kind of request, so that an organisation's requests of several kinds
/// keep their order.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}.{kind}", self.rank())]
pub struct Urgency {
    /// 0 for responses in progress, otherwise one more than the rank.
    rank: u8,
    kind: u8,
}

impl Urgency {
    /// The greatest rank, which unknown ranks count as.
    pub const LOWEST_RANK: u8 = 9;

    /// Urgency of responses in progress, which come before all requests.
    pub const IN_PROGRESS: Self = Self { rank: 0, kind: 0 };

    /// Urgency of a kind of request, for an organisation with a rank of its own or for any other.
    #[must_use]
    pub fn new(organisation: Option<u8>, kind: u8) -> Self {
        let kind = kind.min(Self::LOWEST_RANK);
        let rank = organisation.unwrap_or(kind).min(Self::LOWEST_RANK);
        Self {
            rank: rank + 1,
            kind,
        }
    }

    /// The rank: that of the organisation if it has one, otherwise that of the kind of request.
    #[must_use]
    pub const fn rank(self) -> u8 {
        self.rank.saturating_sub(1)
    }
}

impl From<Priority> for Urgency {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Interactive => Self::new(None, 0),
            Priority::Normal => Self::new(None, 1),
            Priority::Batch => Self::new(None, 2),
        }
    }
}
