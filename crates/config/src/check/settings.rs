//! Limits of the values for the whole system.

use core::fmt::Display;

use crate::check::Context;
use crate::path::Path;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

/// Retentions that are allowed. Records share leases of an hour, so a shorter one has no meaning.
const CALL_RETENTION: (Time, Time) = (Time::from_millis(HOUR), Time::from_millis(90 * 24 * HOUR));

/// Largest kept answer: it stands in base64 within a platform value of at most 1 MB.
const CALL_ANSWER_LIMIT: (Size, Size) = (Size(0), Size(512 * 1024));

/// A planned stop of an entry host takes at least this long, so operators wait for it.
const ADDRESS_LIFETIME: (Time, Time) = (Time::from_millis(100), Time::from_millis(300 * SECOND));

/// Below the lower end, one missed poll of the platform would count as isolation; above the upper end,
/// an isolated host would go on for long with a document that is not in force any more.
const FRESHNESS_LIMIT: (Time, Time) = (Time::from_millis(SECOND), Time::from_millis(60 * SECOND));

const REQUEST_DEADLINE: (Time, Time) = (Time::from_millis(100), Time::from_millis(HOUR));
const STEP_TIMEOUT: (Time, Time) = (Time::from_millis(10), Time::from_millis(60 * SECOND));
const LINK_LATENCY: (Time, Time) = (Time::from_millis(0), Time::from_millis(10 * SECOND));

/// Most loads a second; more would mean that the weight store is not limited at all.
const LOAD_RATE_MAX: f64 = 1_000.0;

pub(crate) fn check(context: &Context<'_>) {
    let Some(settings) = &context.draft.settings else {
        return;
    };
    within(
        context,
        "call_retention",
        settings.call_retention,
        CALL_RETENTION,
    );
    within(
        context,
        "call_answer_limit",
        settings.call_answer_limit,
        CALL_ANSWER_LIMIT,
    );
    within(
        context,
        "address_lifetime",
        settings.address_lifetime,
        ADDRESS_LIFETIME,
    );
    within(
        context,
        "freshness_limit",
        settings.freshness_limit,
        FRESHNESS_LIMIT,
    );
    within(
        context,
        "request_deadline",
        settings.request_deadline,
        REQUEST_DEADLINE,
    );
    within(context, "step_timeout", settings.step_timeout, STEP_TIMEOUT);
    within(context, "link_latency", settings.link_latency, LINK_LATENCY);
    let list = Path::root("settings");
    let rate = settings.load_rate;
    let allowed = rate.per_second() > 0.0 && rate.per_second() <= LOAD_RATE_MAX;
    let expected = format_args!("a rate above 0/s and at most {LOAD_RATE_MAX}/s");
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

fn within<T: Copy + Display + PartialOrd>(
    context: &Context<'_>,
    key: &str,
    found: T,
    (least, most): (T, T),
) {
    let list = Path::root("settings");
    let allowed = least <= found && found <= most;
    let expected = format_args!("{least} to {most}");
    context.ensure(allowed, &list.key(key), found, expected);
}
