//! Shares of limits that hold over all entry hosts.

use agatemill_core::quantity::Rate;

/// The part of a concurrency limit that one of `hosts` entry hosts may use, at least 1.
///
/// Rounded up, so that the sum can exceed the limit by less than `hosts`.
#[must_use]
pub fn concurrency(limit: u32, hosts: u32) -> u32 {
    limit.div_ceil(hosts.max(1)).max(1)
}

/// The part of a rate that one of `hosts` entry hosts may use.
///
/// # Panics
///
/// Never: a part of a valid rate is valid.
#[must_use]
pub fn rate(limit: Rate, hosts: u32) -> Rate {
    Rate::new(limit.per_second() / f64::from(hosts.max(1)))
        .expect("a part of a valid rate is valid")
}
