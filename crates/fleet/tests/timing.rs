//! Sums of the times by which a host learns of a change.

use core::time::Duration;

use agatemill_fleet::upstream::timing::Timing;

/// Availability zones of the largest deployment that the sums must hold for.
const ZONES: u32 = 4;

/// Bounds for which the sums must hold.
const BOUNDS_MS: [u64; 4] = [500, 2_000, 3_000, 11_000];

fn timings() -> impl Iterator<Item = Timing> {
    let bounds = BOUNDS_MS.into_iter().map(Duration::from_millis);
    bounds.map(Timing::new)
}

/// Guards against a change that waits for a connection to the store that carries nothing.
#[test]
fn a_silent_connection_to_the_store_delays_a_change_within_the_bound() {
    for timing in timings() {
        for is_followed in [false, true] {
            let wanted = if is_followed {
                Duration::ZERO
            } else {
                Duration::MAX
            };
            let sum = timing.batch_interval(wanted)
                + timing.watch_wait(is_followed)
                + timing.probe_interval();
            assert!(sum < timing.bound(), "{timing:?}: {sum:?}");
        }
    }
}

/// Guards against a change that waits for a call which began just before the store returned, and for hosts that have
/// ended.
#[test]
fn a_store_that_returns_is_found_within_the_bound() {
    for timing in timings() {
        let call = timing.probe_interval().max(timing.max_backoff());
        let sum = call + timing.connect_timeout() * (ZONES - 1);
        assert!(sum < timing.bound(), "{timing:?}: {sum:?}");
    }
}

/// Guards against a host that follows one which no longer responds for longer than a change may take.
#[test]
fn a_silent_host_is_left_within_the_bound() {
    for timing in timings() {
        let response = timing.feed_wait() + timing.response_timeout();
        let sum = timing.connect_timeout() + response + timing.probe_interval();
        assert!(sum < timing.bound(), "{timing:?}: {sum:?}");
        // A host whose connection to the store carries nothing stops supplying others.
        let sum = timing.max_update_age() + timing.probe_interval();
        assert!(sum < timing.bound(), "{timing:?}: {sum:?}");
        let pause = timing.batch_interval(Duration::ZERO);
        assert!(pause + timing.watch_wait(true) < timing.max_update_age());
    }
}
