//! Clock that keeps running while the machine is suspended.

use core::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since boot, including time in suspend.
#[must_use]
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
