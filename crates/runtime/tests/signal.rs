//! Tests of received signals.

use core::time::Duration;

use rustix::process::Signal;
use rustix::process::getpid;
use rustix::process::kill_process;
use signal_hook::consts::SIGHUP;

/// Interval at which the channel is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Guards against times that count from when a busy task learns of a signal instead of its receipt.
#[test]
fn the_time_of_a_signal_is_that_of_its_receipt() {
    let signals = agatemill_runtime::signal::termination_and_reload().unwrap();
    let before = agatemill_runtime::now();
    kill_process(getpid(), Signal::HUP).unwrap();
    while signals.is_empty() {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let after = agatemill_runtime::now();
    std::thread::sleep(CHECK_INTERVAL);
    let signal = signals.recv_blocking().unwrap();
    assert_eq!(signal.number, SIGHUP);
    assert!(signal.received >= before, "{signal:?} {before:?}");
    assert!(signal.received <= after, "{signal:?} {after:?}");
}
