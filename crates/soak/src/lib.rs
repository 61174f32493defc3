//! Randomized soak: real gateways as separate processes on loopback, with faults from outside.
//!
//! A seed gives a series of overlapping faults ([`plan`]): signals to the processes ([`host`]), links to the
//! store and to the engines that delay, reset, cut one way or fall silent ([`proxy`]), a store and engines that
//! misbehave, and changes of the configuration. Callers ([`caller`]) keep their connections until the process
//! is gone. The verdict ([`verdict`]) rests on what callers and backend servers saw.

#![expect(
    clippy::missing_panics_doc,
    reason = "the soak panics where the machine refuses it files, ports or processes"
)]

pub mod caller;
pub mod command;
pub mod host;
pub mod plan;
pub mod play;
pub mod proxy;
pub mod verdict;

pub use caller::Sent;
pub use host::Host;
pub use plan::Fault;
pub use proxy::Proxy;
