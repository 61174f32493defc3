//! Loads that other hosts sent.

use core::time::Duration;
use std::collections::HashMap;

use crate::Tally;
use crate::census::MAX_AGE;
use agatemill_core::id;

/// Maximum number of rows that are held: those of 1,000 hosts with load on 500 servers each. A row takes some 24 bytes.
const MAX_ROWS: usize = 500_000;

/// Rows that a sample counts for beside its own: its name and its place.
const SAMPLE_ROWS: usize = 8;

/// A received or computed tally and its time.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) at: Duration,
    pub(super) tally: Tally,
}

/// Recent loads by host, of a bounded size, whatever hosts the messages name.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    samples: HashMap<id::Host, Sample>,
    /// Rows of all samples. Invariant: their sum, at most [`MAX_ROWS`].
    rows: usize,
}

impl Sample {
    fn rows(&self) -> usize {
        self.tally.rows() + SAMPLE_ROWS
    }
}

impl Samples {
    /// Adds the load of a host in place of its last one. Without room, the load is dropped and the last one kept.
    pub(super) fn insert(&mut self, host: id::Host, sample: Sample) {
        let now = sample.at;
        let last = |samples: &Self| samples.samples.get(&host).map_or(0, Sample::rows);
        if self.rows - last(self) + sample.rows() > MAX_ROWS {
            self.expire(now);
        }
        let rows = self.rows - last(self) + sample.rows();
        if rows > MAX_ROWS {
            return;
        }
        self.rows = rows;
        self.samples.insert(host, sample);
    }

    /// Drops the loads that no longer count.
    pub(super) fn expire(&mut self, now: Duration) {
        self.samples.retain(|_, sample| now <= sample.at + MAX_AGE);
        self.rows = self.samples.values().map(Sample::rows).sum();
    }

    /// Drops the load of a host.
    pub(super) fn remove(&mut self, host: &id::Host) {
        if let Some(sample) = self.samples.remove(host) {
            self.rows -= sample.rows();
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The loads, in no order.
    pub(super) fn tallies(&self) -> impl Iterator<Item = &Tally> {
        self.samples.values().map(|sample| &sample.tally)
    }
}
