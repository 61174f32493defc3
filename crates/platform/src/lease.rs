//! Leases.

use derive_more::Display;

/// Names a lease; keys attached to it vanish when it lapses.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);
