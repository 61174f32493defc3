//! Step timeouts that follow the observed latency.

use core::time::Duration;
use std::collections::HashMap;

use crate::Settings;
use agatemill_core::id;

/// Weight of the newest time in the moving average.
const SMOOTHING: f64 = 0.2;

/// A step that has taken this many times the average of its engine is suspicious.
const SUSPICIOUS: f64 = 10.0;

/// A step may take this many times the average of its engine, however long the average is.
const PATIENCE: f64 = 4.0;

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

    /// How long a step of this many positions may take before its engine is asked whether it is alive.
    #[must_use]
    pub fn probe_delay(
        &self,
        server: &id::Server,
        positions: u32,
        settings: &Settings,
    ) -> Duration {
        let ceiling = settings.max_probe_delay();
        let floor = settings.min_probe_delay.min(ceiling);
        let usual = self.scaled_average(server, SUSPICIOUS).unwrap_or(ceiling);
        usual.clamp(floor, ceiling) + extra(positions, settings)
    }

    /// How long a step of this many positions may take in all. Grows with the observed times, so that load
    /// alone does not turn an engine into a lost one.
    #[must_use]
    pub fn step_timeout(
        &self,
        server: &id::Server,
        positions: u32,
        settings: &Settings,
    ) -> Duration {
        let usual = self.scaled_average(server, PATIENCE).unwrap_or_default();
        usual.max(settings.step_timeout) + extra(positions, settings)
    }

    fn scaled_average(&self, server: &id::Server, factor: f64) -> Option<Duration> {
        let average = self.averages.get(server)?;
        Duration::try_from_secs_f64(average * factor).ok()
    }
}

/// Time that a step over a prompt gets on top.
fn extra(positions: u32, settings: &Settings) -> Duration {
    settings
        .time_per_position
        .saturating_mul(positions.saturating_sub(1))
}
