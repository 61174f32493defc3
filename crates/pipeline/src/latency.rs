//! Step timeouts that follow the observed latency.

use core::time::Duration;
use std::collections::HashMap;

use crate::Settings;
use agatemill_core::id;

/// Weight of the newest time in the moving average.
const SMOOTHING: f64 = 0.2;

/// A step may take this many times the average of its engine.
const MULTIPLE: f64 = 10.0;

/// Moving averages of the times of decoding steps, by engine.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    /// Seconds.
    averages: HashMap<id::Server, f64>,
}

impl Latency {
    /// Notes the time of a decoding step.
    pub fn observe(&mut self, server: &id::Server, time: Duration) {
        let seconds = time.as_secs_f64();
        match self.averages.get_mut(server) {
            Some(average) => *average += SMOOTHING * (seconds - *average),
            None => {
                self.averages.insert(server.clone(), seconds);
            }
        }
    }

    /// How long a step of this many positions may take. Engines without an average get the longest time.
    #[must_use]
    pub fn limit(&self, server: &id::Server, positions: u32, settings: &Settings) -> Duration {
        let average = self.averages.get(server).copied();
        let adaptive =
            average.and_then(|average| Duration::try_from_secs_f64(average * MULTIPLE).ok());
        let floor = settings.step_floor.min(settings.step_timeout);
        let decode = adaptive
            .unwrap_or(settings.step_timeout)
            .clamp(floor, settings.step_timeout);
        let extra = settings
            .position_time
            .saturating_mul(positions.saturating_sub(1));
        decode.saturating_add(extra)
    }
}
