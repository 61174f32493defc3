//! Randomized soak test: real gateways as separate processes on loopback, with injected faults.
//!
//! A seed determines a series of overlapping faults ([`plan`]): signals to the processes ([`host`]); delays, resets
//! and stalls in one or both directions on the links to the store and the engines ([`proxy`]); a misbehaving store and
//! engines; a store that comes back from an older copy; backend servers that are silent, leave, or ask for no requests; and configuration changes. Callers
//! ([`caller`]) reuse their connections until the process closes them. [`verdict`] and [`routing`] check the invariants
//! against what callers and backend servers observed, and [`run`] drives one seed.

#![expect(
    clippy::missing_panics_doc,
    reason = "the soak panics if the machine provides no files, ports or processes"
)]

pub mod caller;
pub mod command;
pub mod host;
pub mod plan;
pub mod proxy;
pub mod routing;
pub mod run;
pub mod verdict;

pub use caller::Exchange;
pub use host::Host;
pub use plan::Backoff;
pub use plan::Departure;
pub use plan::Fault;
pub use plan::Restore;
pub use plan::Schedule;
pub use plan::Silence;
pub use proxy::Proxy;
