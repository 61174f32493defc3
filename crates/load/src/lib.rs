//! Open-loop load and experiment tool.
//!
//! A [`Plan`] is a load recorded from a seed. [`run`] sends it to running entries, and [`simulation`] runs it
//! in virtual time through the routing, limit and retry decisions that an entry uses, over model engines
//! with the batching of the stand-ins. [`experiment`] names the comparisons of `docs/measurements.md`, and
//! [`bound`] computes what a fleet can serve at most.

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
