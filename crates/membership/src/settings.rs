//! Timings and sizes of the failure detector.

use core::time::Duration;

/// Timings and sizes of the failure detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between the starts of two rounds of probes.
    pub probe_interval: Duration,
    /// Members probed in each round. Among 30 hosts, a dead host gets no probe from anyone for 1 s with a
    /// probability of `(1 - 2 · probes / 29)^29`: 13% for one probe a round, 1.3% for two and 0.1% for
    /// three.
    pub probes: usize,
    /// How long the answer to a direct probe may take.
    pub direct_timeout: Duration,
    /// How long the answer to indirect probes may take after that.
    pub indirect_timeout: Duration,
    /// Members asked to probe on this host's behalf.
    pub helpers: usize,
    /// Time to refute a suspicion, for up to ten members; it grows with the logarithm of their number.
    pub suspicion: Duration,
    /// How long dead members and those that have left are kept.
    pub retention: Duration,
    /// Updates in one message. Five members with the longest names fit into one datagram.
    pub updates: usize,
    /// Each update is sent about `spread · log2(members)` times.
    pub spread: u32,
    /// Members that are told at once of a change of state.
    pub fanout: usize,
    /// Least time between two such rounds, which bounds the traffic when a whole zone fails.
    pub urgent_interval: Duration,
    /// Time between two attempts to reach a dead member, by which a healed split is noticed.
    pub reconnect_interval: Duration,
    /// A longer time between two ticks means that this process was paused.
    pub pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probes: 3,
            direct_timeout: Duration::from_millis(200),
            indirect_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion: Duration::from_millis(1_500),
            retention: Duration::from_mins(5),
            updates: 5,
            spread: 3,
            fanout: 3,
            urgent_interval: Duration::from_millis(100),
            reconnect_interval: Duration::from_secs(1),
            pause: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Time to refute a suspicion among `members`.
    #[must_use]
    pub fn suspicion_among(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.suspicion.mul_f64(f64::from(members).log10().max(1.0))
    }

    /// How often an update is sent among `members`.
    #[must_use]
    pub fn copies_among(&self, members: usize) -> u32 {
        let doublings = usize::BITS - members.leading_zeros();
        self.spread * doublings.max(1)
    }
}
