//! Open-loop load and experiment tool.
//!
//! A [`Plan`] is a list of timed requests generated from a seed. [`run`] sends a plan to running entries.
//! [`simulation`] runs a plan in virtual time with the routing, limit and retry code of an entry, over
//! simulated engines that batch like the fake ones. [`experiment`] defines the comparisons of
//! `docs/measurements.md`, [`control`] measures control processes, and [`bound`] computes the maximum
//! throughput of a fleet.

pub mod bound;
pub mod check;
pub mod client;
pub mod command;
pub mod control;
pub mod experiment;
pub mod plan;
pub mod report;
pub mod run;
pub mod scenario;
pub mod simulation;
pub mod system;

pub use bound::Bound;
pub use plan::Plan;
pub use report::Report;
pub use scenario::Scenario;
