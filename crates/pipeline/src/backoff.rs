//! Exponential backoff between attempts.

use core::time::Duration;

/// Upper bound of a single delay.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Delay before move number `moves` (from 1). The bound starts at `base` and doubles with each move; `random` in
/// `0.0..1.0` selects a point in its upper half, so that requests that fail together do not retry together.
#[must_use]
pub fn wait(base: Duration, moves: u32, random: f64) -> Duration {
    let factor = 1_u32.checked_shl(moves.saturating_sub(1));
    let bound = base
        .saturating_mul(factor.unwrap_or(u32::MAX))
        .min(MAX_WAIT);
    bound.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
