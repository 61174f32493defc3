//! Per-host shares of limits that apply to all entry hosts together.

use agatemill_core::quantity::Rate;

/// Share of a concurrency limit for each of `hosts` entry hosts, at least 1.
///
/// Rounded up, so that the sum can exceed the limit by less than `hosts`.
#[must_use]
pub fn concurrency(limit: u32, hosts: u32) -> u32 {
    limit.div_ceil(hosts.max(1)).max(1)
}

/// Share of a rate limit for each of `hosts` entry hosts.
///
/// # Panics
///
/// Never: a fraction of a valid rate is valid.
#[must_use]
pub fn rate(limit: Rate, hosts: u32) -> Rate {
    Rate::new(limit.per_second() / f64::from(hosts.max(1)))
        .expect("a fraction of a valid rate is valid")
}
