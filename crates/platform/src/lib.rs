//! Client for the platform's key-value service: compare-and-swap, leases and watches.
//!
//! The client uses the etcd v3 JSON gateway. An error indicates whether a write may have taken effect; in
//! that case, the writer reads the key back and compares the unique id in its value.

pub mod client;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod lease;
pub mod swap;
pub mod watch;

pub use client::Client;
pub use entry::Entry;
pub use error::Error;
pub use lease::Lease;
pub use swap::Swap;
pub use watch::Watch;
