//! Step timeouts derived from the observed latency.

use core::time::Duration;
use std::collections::HashMap;

use crate::Settings;
use agatemill_core::id;

/// Weight of the newest sample in the exponential moving average.
const SMOOTHING: f64 = 0.2;

/// Multiple of the engine's average after which a step triggers a status query.
const PROBE_FACTOR: f64 = 10.0;

/// Multiple of the engine's average that a step may always take, however long the average is.
const TIMEOUT_FACTOR: f64 = 4.0;

/// Moving averages of decoding step times by engine.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    /// Seconds.
    averages: HashMap<id::Server, f64>,
}

impl Latency {
    /// Records the time of a decoding step.
    pub fn observe(&mut self, server: &id::Server, time: Duration) {
        let seconds = time.as_secs_f64();
        match self.averages.get_mut(server) {
            Some(average) => *average += SMOOTHING * (seconds - *average),
            None => {
                self.averages.insert(server.clone(), seconds);
            }
        }
    }

    /// How long a step of this many positions may take before the engine is probed with a status query.
    #[must_use]
    pub fn probe_delay(
        &self,
        server: &id::Server,
        positions: u32,
        settings: &Settings,
    ) -> Duration {
        let ceiling = settings.max_probe_delay();
        let floor = settings.min_probe_delay.min(ceiling);
        let scaled = self.scaled_average(server, PROBE_FACTOR).unwrap_or(ceiling);
        scaled.clamp(floor, ceiling) + prompt_allowance(positions, settings)
    }

    /// Timeout of a step of this many positions. It grows with the observed times, so that load alone does not
    /// make an engine count as failed.
    #[must_use]
    pub fn step_timeout(
        &self,
        server: &id::Server,
        positions: u32,
        settings: &Settings,
    ) -> Duration {
        let scaled = self
            .scaled_average(server, TIMEOUT_FACTOR)
            .unwrap_or_default();
        scaled.max(settings.step_timeout) + prompt_allowance(positions, settings)
    }

    fn scaled_average(&self, server: &id::Server, factor: f64) -> Option<Duration> {
        let average = self.averages.get(server)?;
        Duration::try_from_secs_f64(average * factor).ok()
    }
}

/// Extra time allowed for a step over a prompt.
fn prompt_allowance(positions: u32, settings: &Settings) -> Duration {
    settings
        .time_per_position
        .saturating_mul(positions.saturating_sub(1))
}
