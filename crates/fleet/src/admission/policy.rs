//! Settings of the admission.

use core::time::Duration;

/// Settings of the admission by urgency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Time for whose more urgent requests room stays free.
    pub reserve: Duration,
    /// Share of the memory that requests of each urgency may always use. Invariant: from 0 to below 1.
    pub floor: f64,
    /// Share of an engine's memory that requests may fill. Invariant: above 0 and at most 1.
    pub fill: f64,
    /// Share of the target latency for which a request may wait. Invariant: from 0 to 1.
    pub wait: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            // Hosts learn of each other's requests after up to two rounds of 250 ms, and of what ended as late.
            reserve: Duration::from_millis(750),
            floor: 0.03,
            // The length of an output is known as an estimate only, and an engine that runs out of memory preempts a stream.
            fill: 0.95,
            // The rest of the target latency is needed to read the prompt.
            wait: 0.5,
        }
    }
}
