//! Counters, histograms and gauges, exported in the Prometheus text format.
//!
//! Each process has one [`Registry`]. Counters carry the reason, the outcome or the event as a label, so that
//! each refusal reason and each retry reason is a separate series.

pub mod registry;

pub use registry::Registry;
