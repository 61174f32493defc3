//! Bandwidth limit for paths that cross availability zones.

use core::time::Duration;

use crate::Model;

/// Share of the bandwidth between zones that paths may use. Transfers queue behind each other, so a higher
/// utilisation delays every token of every stream that crosses zones.
const USABLE_BANDWIDTH_SHARE: f64 = 0.35;

/// Period of unused bandwidth that may accumulate as a burst.
const MAX_BURST: Duration = Duration::from_secs(1);

/// This host's share of the bandwidth between zones, as a token bucket.
///
/// During overload or after the loss of engines, paths through other zones are the cheapest for each single
/// request but saturate the links for all of them. A path is admitted before its transfer size is known, so
/// the credit may fall below zero; no further path crosses until it is positive again.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Bits that may be sent; negative after a path that exceeded the credit.
    credit: f64,
    updated: Duration,
}

impl Link {
    /// Refills the credit and returns whether a path may cross zones now, for a host with a share of
    /// `bits_per_s`.
    pub fn is_open(&mut self, bits_per_s: f64, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = now;
        let max_credit = bits_per_s * MAX_BURST.as_secs_f64();
        self.credit = (self.credit + bits_per_s * elapsed.as_secs_f64()).min(max_credit);
        self.credit > 0.0
    }

    /// Charges a path that sends `tokens` tokens over `crossings` links.
    pub fn charge(&mut self, model: &Model, tokens: f64, crossings: usize) {
        // A path has at most as many crossings as layers.
        #[allow(clippy::cast_precision_loss)]
        let crossings = crossings as f64;
        self.credit -= tokens * crossings * model.activation_bytes * 8.0;
    }
}

/// Bandwidth between `zones` zones that each of `hosts` hosts may use, in bits per second.
#[must_use]
pub fn share(model: &Model, zones: usize, hosts: usize) -> f64 {
    // Numbers of zones and hosts are small.
    #[allow(clippy::cast_precision_loss)]
    let (pairs, hosts) = (
        (zones * zones.saturating_sub(1) / 2) as f64,
        hosts.max(1) as f64,
    );
    model.zone_link_mbps * 1e6 * USABLE_BANDWIDTH_SHARE * pairs / hosts
}
