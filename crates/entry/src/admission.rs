//! Admission control: the rate limit of the organisation, then the fair queue of the half.

use core::hash::BuildHasher;
use core::time::Duration;
use std::collections::HashMap;
use std::hash::RandomState;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::gate::Gate;
use crate::gate::Permit;
use crate::settings::Limits;
use agatemill_config::document::Organisation;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_limits::Bucket;
use agatemill_limits::queue::Request;
use agatemill_limits::share;

/// Number of shards of the rate limiters, each with its own lock.
const SHARDS: usize = 16;

/// Rate limiters and fair queues; the half is part of every key.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    waiters: usize,
    hasher: RandomState,
    buckets: [Mutex<HashMap<Key, Bucket>>; SHARDS],
    gates: Mutex<HashMap<id::Half, Arc<Gate>>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    half: id::Half,
    organisation: id::Organisation,
}

impl Admission {
    /// Creates the state of an entry that has not admitted any request.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            slots: limits.slots,
            waiters: limits.waiters,
            hasher: RandomState::new(),
            buckets: Default::default(),
            gates: Mutex::default(),
        }
    }

    /// Admits a request of an organisation; waits for a slot until `deadline`. The limits of the organisation
    /// are shared among `hosts` entry hosts.
    ///
    /// # Errors
    ///
    /// [`Reason::RateLimited`] and those of [`Gate::enter`], all with [`Outcome::NotRun`](agatemill_core::Outcome).
    pub async fn admit(
        &self,
        organisation: &Organisation,
        hosts: u32,
        deadline: Duration,
    ) -> Result<Permit, Refusal> {
        self.check_rate(organisation, hosts)?;
        let request = Request {
            organisation: organisation.name.clone(),
            weight: organisation.weight,
            urgency: organisation.priority.into(),
            concurrency: share::concurrency(organisation.concurrency, hosts),
            deadline,
        };
        self.gate(&organisation.half).enter(request).await
    }

    fn check_rate(&self, organisation: &Organisation, hosts: u32) -> Result<(), Refusal> {
        let now = agatemill_runtime::now();
        let rate = share::rate(organisation.rate, hosts);
        let key = Key {
            half: organisation.half.clone(),
            organisation: organisation.name.clone(),
        };
        let shard = usize::try_from(self.hasher.hash_one(&key)).unwrap_or(usize::MAX) % SHARDS;
        let mut buckets = self.buckets[shard]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::new(rate, now));
        bucket.set_rate(rate, now);
        bucket.take(now).map_err(rate_limited)
    }

    fn gate(&self, half: &id::Half) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let gate = gates
            .entry(half.clone())
            .or_insert_with(|| Arc::new(Gate::new(self.slots, self.waiters)));
        Arc::clone(gate)
    }
}

fn rate_limited(wait: Duration) -> Refusal {
    let refusal = Refusal::not_run(Reason::RateLimited, "the organisation is over its rate");
    // A rate of 0 never admits a request, so there is no time for `Retry-After`.
    if wait == Duration::MAX {
        return refusal;
    }
    refusal.retry_after(wait)
}
