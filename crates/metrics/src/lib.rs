//! Counters, histograms and gauges, exported in the Prometheus text format.
//!
//! Each process has one [`Registry`]. A counter is named by the part that counts and carries one label for
//! the kind of event, so that every refusal and retry reason has a series of its own.

pub mod registry;

pub use registry::Registry;
