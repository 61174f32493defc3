//! Checks of the system-wide settings.

use core::fmt::Display;

use crate::check::Context;
use crate::path::Path;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

/// Allowed retention periods. Records share leases of an hour, so a shorter period would have no effect.
const CALL_RETENTION_RANGE: (Time, Time) =
    (Time::from_millis(HOUR), Time::from_millis(90 * 24 * HOUR));

/// Allowed sizes of a stored response, which is encoded in base64 within a platform value of at most 1 MB.
const CALL_ANSWER_LIMIT_RANGE: (Size, Size) = (Size(0), Size(512 * 1024));

/// A planned stop of an entry host takes at least this long, and operators wait for it.
const ADDRESS_LIFETIME_RANGE: (Time, Time) =
    (Time::from_millis(100), Time::from_millis(300 * SECOND));

/// Below the minimum, one missed poll of the platform would count as isolation; above the maximum, an
/// isolated host would serve an outdated document for too long.
const FRESHNESS_LIMIT_RANGE: (Time, Time) =
    (Time::from_millis(SECOND), Time::from_millis(60 * SECOND));

const REQUEST_DEADLINE_RANGE: (Time, Time) = (Time::from_millis(100), Time::from_millis(HOUR));
const STEP_TIMEOUT_RANGE: (Time, Time) = (Time::from_millis(10), Time::from_millis(60 * SECOND));
const LINK_LATENCY_RANGE: (Time, Time) = (Time::from_millis(0), Time::from_millis(10 * SECOND));

/// Maximum loads per second; a higher rate would not limit the weight store at all.
const MAX_LOAD_RATE: f64 = 1_000.0;

pub(crate) fn check(context: &Context<'_>) {
    let Some(settings) = &context.draft.settings else {
        return;
    };
    check_range(
        context,
        "call_retention",
        settings.call_retention,
        CALL_RETENTION_RANGE,
    );
    check_range(
        context,
        "call_answer_limit",
        settings.call_answer_limit,
        CALL_ANSWER_LIMIT_RANGE,
    );
    check_range(
        context,
        "address_lifetime",
        settings.address_lifetime,
        ADDRESS_LIFETIME_RANGE,
    );
    check_range(
        context,
        "freshness_limit",
        settings.freshness_limit,
        FRESHNESS_LIMIT_RANGE,
    );
    check_range(
        context,
        "request_deadline",
        settings.request_deadline,
        REQUEST_DEADLINE_RANGE,
    );
    check_range(
        context,
        "step_timeout",
        settings.step_timeout,
        STEP_TIMEOUT_RANGE,
    );
    check_range(
        context,
        "link_latency",
        settings.link_latency,
        LINK_LATENCY_RANGE,
    );
    let list = Path::root("settings");
    let rate = settings.load_rate;
    let allowed = rate.per_second() > 0.0 && rate.per_second() <= MAX_LOAD_RATE;
    let expected = format_args!("a rate above 0/s and at most {MAX_LOAD_RATE}/s");
    context.ensure(allowed, &list.key("load_rate"), rate, expected);
    context.ensure(
        settings.step_timeout <= settings.request_deadline,
        &list.key("step_timeout"),
        settings.step_timeout,
        format_args!(
            "at most the request deadline of {}",
            settings.request_deadline
        ),
    );
}

fn check_range<T: Copy + Display + PartialOrd>(
    context: &Context<'_>,
    key: &str,
    found: T,
    (min, max): (T, T),
) {
    let list = Path::root("settings");
    let allowed = min <= found && found <= max;
    let expected = format_args!("{min} to {max}");
    context.ensure(allowed, &list.key(key), found, expected);
}
