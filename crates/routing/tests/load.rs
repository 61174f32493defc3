//! Guards against sessions that the load estimate counts twice or not at all when reports are late.

use core::time::Duration;

use agatemill_routing::Load;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Own sessions that are already part of the report must not be counted twice; newer ones must be added.
#[test]
fn adds_only_sessions_opened_after_the_count() {
    let mut load = Load::default();
    load.record_open(ms(1_000));
    load.record_open(ms(2_000));
    load.record_report(10, ms(1_500));
    assert_eq!(load.estimated_sessions(), 11);
    load.record_report(11, ms(2_500));
    assert_eq!(load.estimated_sessions(), 11);
}

/// A session that closed after the count is still part of the report and must be subtracted.
#[test]
fn subtracts_sessions_closed_after_the_count() {
    let mut load = Load::default();
    load.record_open(ms(1_000));
    load.record_report(6, ms(1_500));
    load.record_close(ms(2_000));
    assert_eq!(load.estimated_sessions(), 5);
}

/// A report that arrives after a newer one must not restore the older count.
#[test]
fn ignores_reports_out_of_order() {
    let mut load = Load::default();
    load.record_report(3, ms(2_000));
    load.record_report(90, ms(1_000));
    assert_eq!(load.estimated_sessions(), 3);
}

/// Trimming the history must keep the value at the horizon.
#[test]
fn keeps_sessions_older_than_the_history_window() {
    let mut load = Load::default();
    load.record_open(ms(0));
    load.record_open(ms(60_000));
    load.record_report(8, ms(55_000));
    assert_eq!(load.estimated_sessions(), 9);
}
