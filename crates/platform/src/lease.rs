//! Identifiers of leases.

use derive_more::Display;

/// Id of a lease; keys attached to the lease are deleted when it expires.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);
