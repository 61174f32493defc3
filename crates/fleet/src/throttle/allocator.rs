//! Allocates the requests that servers accept to the hosts that ask for them.

use core::time::Duration;
use std::collections::HashMap;

use crate::tally::Key;
use crate::throttle::MAX_WANTED;
use crate::throttle::message::Ask;
use crate::throttle::message::Grant;
use agatemill_core::number::Fence;
use agatemill_core::quantity::Rate;
use agatemill_limits::Bucket;

/// Share of a limit that is given out. The rest covers requests that are sent while the hosts learn of the limit.
const USED_SHARE: f64 = 0.9;

/// Time after which the bucket of a server for which no host asks is dropped; the next one starts empty.
const BUCKET_LIFETIME: Duration = Duration::from_mins(1);

/// Gives out credits for requests to servers with a limit.
///
/// The host that leads the fleet has the only allocator. Buckets start empty in each term, so that a change of the leader
/// never gives out more than the rate.
#[derive(Clone, Debug, Default)]
pub struct Allocator {
    /// The term of the buckets.
    term: Option<Fence>,
    buckets: HashMap<Key, Account>,
}

/// The bucket of a server.
#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    /// When a host last asked for credits.
    asked: Duration,
}

impl Allocator {
    /// Answers an ask in the term of the leader, given the limits of the servers.
    #[must_use]
    pub fn grant(
        &mut self,
        term: Fence,
        ask: Ask,
        limit: impl Fn(Key) -> Option<Rate>,
        now: Duration,
    ) -> Grant {
        if self.term != Some(term) {
            self.term = Some(term);
            self.buckets.clear();
        }
        self.buckets
            .retain(|_, account| now < account.asked + BUCKET_LIFETIME);
        let rows = ask.rows.into_iter().filter_map(|(server, wanted)| {
            let granted = self.take(server, wanted, limit(server)?, now);
            (granted > 0).then_some((server, granted))
        });
        Grant {
            serial: ask.serial,
            rows: rows.collect(),
        }
    }

    /// Takes up to `wanted` credits from the bucket of a server.
    fn take(&mut self, server: Key, wanted: u32, limit: Rate, now: Duration) -> u32 {
        let Ok(rate) = Rate::new(limit.per_second() * USED_SHARE) else {
            return 0;
        };
        let account = self.buckets.entry(server).or_insert_with(|| Account {
            bucket: Bucket::empty(rate, now),
            asked: now,
        });
        account.asked = now;
        account.bucket.set_rate(rate, now);
        let wanted = wanted.min(MAX_WANTED);
        let mut granted = 0;
        while granted < wanted && account.bucket.take(now).is_ok() {
            granted += 1;
        }
        granted
    }
}
