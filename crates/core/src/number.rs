//! Newtypes for counters, revisions and positions.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)+) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            ///
            /// # Panics
            ///
            /// Panics on overflow, which the growth rates of these counters never reach.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.checked_add(1).expect("counter overflow"))
            }
        }
    )+};
}

numbers! {
    /// Number of an attempt at one generation; incremented each time the chain is rebuilt.
    Attempt(u32);
    /// Number of a history of the platform's store; rises when the store is restored from an older copy.
    Era(u64);
    /// Fencing token that a planner sends with its orders; a higher one is newer.
    Fence(u64);
    /// Number of a configuration document in force; 0 means "none yet".
    Generation(u64);
    /// Incarnation number of a member, which the member increments to refute a suspicion.
    Incarnation(u64);
    /// Index of a token in a sequence, counted from 0 at the first prompt token.
    Position(u32);
    /// Revision of the last change of a platform key; 0 means "absent".
    Revision(u64);
}
