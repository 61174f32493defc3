//! Guards the load estimate against counting sessions twice or not at all when reports are late.

use core::time::Duration;

use agatemill_routing::Load;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Own sessions that the report holds already must not be added again; newer ones must.
#[test]
fn adds_only_what_the_report_cannot_hold() {
    let mut load = Load::default();
    load.opened(ms(1_000));
    load.opened(ms(2_000));
    load.report(10, ms(1_500));
    assert_eq!(load.estimated(), 11);
    load.report(11, ms(2_500));
    assert_eq!(load.estimated(), 11);
}

/// A session that closed after the count is still in the report and must be taken off.
#[test]
fn takes_off_sessions_closed_after_the_count() {
    let mut load = Load::default();
    load.opened(ms(1_000));
    load.report(6, ms(1_500));
    load.closed(ms(2_000));
    assert_eq!(load.estimated(), 5);
}

/// A report that arrives after a newer one must not bring the old load back.
#[test]
fn ignores_reports_out_of_order() {
    let mut load = Load::default();
    load.report(3, ms(2_000));
    load.report(90, ms(1_000));
    assert_eq!(load.estimated(), 3);
}

/// The history is bounded, and the value at its horizon must survive.
#[test]
fn remembers_sessions_older_than_the_history() {
    let mut load = Load::default();
    load.opened(ms(0));
    load.opened(ms(60_000));
    load.report(8, ms(55_000));
    assert_eq!(load.estimated(), 9);
}
