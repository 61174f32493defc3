//! Owners of shares.

use core::net::IpAddr;

use compact_str::CompactString;
use derive_more::Display;

/// Whom a share is held for. A share may have several owners.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum Owner {
    /// A caller, by its address.
    #[display("{_0}")]
    Address(IpAddr),
    /// An organisation, by its name.
    #[display("{_0}")]
    Organisation(CompactString),
}
