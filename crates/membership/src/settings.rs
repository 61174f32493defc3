//! Timings and sizes of the failure detector.

use core::time::Duration;

/// Timings and sizes of the failure detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time between the starts of consecutive probe rounds.
    pub probe_interval: Duration,
    /// Members probed per round. Among 30 hosts, the probability that no host probes a dead host for 1 s is
    /// `(1 - 2 · probes / 29)^29`: 13% for one probe per round, 1.3% for two and 0.1% for three.
    pub probes: usize,
    /// Timeout of a direct probe.
    pub direct_timeout: Duration,
    /// Further time allowed for indirect probes after the direct timeout.
    pub indirect_timeout: Duration,
    /// Number of members that are requested to send indirect probes.
    pub helpers: usize,
    /// Time to refute a suspicion with up to ten members; it grows with the logarithm of the member count.
    pub suspicion: Duration,
    /// How long dead members and members that have left are retained.
    pub retention: Duration,
    /// Maximum number of updates per message. Five members with the longest names fit into one datagram.
    pub updates: usize,
    /// Each update is sent about `spread · log2(members)` times.
    pub spread: u32,
    /// Number of members that are sent a state change immediately.
    pub fanout: usize,
    /// Minimum time between two such broadcasts, which bounds the traffic when a whole zone fails.
    pub urgent_interval: Duration,
    /// Time between attempts to reach a dead member, which detect that a network partition has healed.
    pub reconnect_interval: Duration,
    /// A longer gap between two ticks is treated as a pause of this process.
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
    /// Time to refute a suspicion with `members` members.
    #[must_use]
    pub fn suspicion_among(&self, members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        self.suspicion.mul_f64(f64::from(members).log10().max(1.0))
    }

    /// Number of times that an update is sent with `members` members.
    #[must_use]
    pub fn copies_among(&self, members: usize) -> u32 {
        let doublings = usize::BITS - members.leading_zeros();
        self.spread * doublings.max(1)
    }
}
