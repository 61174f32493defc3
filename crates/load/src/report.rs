//! Results of a load.

use core::time::Duration;
use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Longest time that the histograms tell apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Times in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

/// Percentiles of times in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Half of the times are at most this.
    pub p50: f64,
    /// 95 in 100 are.
    pub p95: f64,
    /// 99 in 100 are.
    pub p99: f64,
}

/// Results of a load. All latencies count from the planned send time.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of what was measured.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole, right and in time.
    pub complete: u64,
    /// Requests refused or failed, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were not the caller's own, whole or in order. Anything but 0 is a fault.
    pub wrong: u64,
    /// Non-idempotent calls that ran more than once. Anything but 0 is a fault.
    pub repeated: u64,
    /// Token positions of complete answers in each second of the measured window.
    pub goodput: f64,
    /// Bound on `goodput`; 0 when it is not known.
    pub bound: f64,
    /// Positions that engines ran, over those that complete answers need; 0 when it is not known.
    pub work_amplification: f64,
    /// Time to the first token.
    pub time_to_first_token: Latencies,
    /// Time between tokens.
    pub inter_token: Latencies,
    /// Time of each organisation's requests to the end of the answer.
    pub organisations: BTreeMap<u32, Latencies>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid"))
    }
}

impl Latencies {
    /// Notes a time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// The percentiles.
    #[must_use]
    pub fn percentiles(&self) -> Percentiles {
        let millis = |quantile| {
            let micros = self.0.value_at_quantile(quantile);
            f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1e3
        };
        Percentiles {
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
        }
    }
}

impl Report {
    /// An empty report.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            sent: 0,
            complete: 0,
            refused: BTreeMap::new(),
            wrong: 0,
            repeated: 0,
            goodput: 0.0,
            bound: 0.0,
            work_amplification: 0.0,
            time_to_first_token: Latencies::default(),
            inter_token: Latencies::default(),
            organisations: BTreeMap::new(),
        }
    }

    /// Counts a request without an answer.
    pub fn count_refusal(&mut self, reason: &str) {
        *self.refused.entry(reason.to_owned()).or_default() += 1;
    }

    /// Goodput as a share of the bound.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.bound > 0.0 {
            self.goodput / self.bound
        } else {
            0.0
        }
    }

    /// Head of the table that [`Report::row`] fills.
    #[must_use]
    pub fn header() -> String {
        format!(
            "{:<34} {:>6} {:>6} {:>6} {:>8} {:>6} {:>6}  {:>22}  {:>20}",
            "run",
            "sent",
            "whole",
            "none",
            "goodput",
            "share",
            "work",
            "first p50/95/99 ms",
            "between p50/95/99 ms"
        )
    }

    /// A row of the table.
    #[must_use]
    pub fn row(&self) -> String {
        let first = self.time_to_first_token.percentiles();
        let between = self.inter_token.percentiles();
        let mut row = format!(
            "{:<34} {:>6} {:>6} {:>6} {:>8.0} {:>6.3} {:>6.3}  {:>6.0} {:>7.0} {:>7.0}  {:>6.1} {:>6.1} {:>6.1}",
            self.name,
            self.sent,
            self.complete,
            self.refused.values().sum::<u64>(),
            self.goodput,
            self.share(),
            self.work_amplification,
            first.p50,
            first.p95,
            first.p99,
            between.p50,
            between.p95,
            between.p99
        );
        if self.wrong + self.repeated > 0 {
            row = format!("{row}  WRONG {} REPEATED {}", self.wrong, self.repeated);
        }
        row
    }

    /// The report as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let organisations = self.organisations.iter();
        let organisations: BTreeMap<String, Percentiles> = organisations
            .map(|(index, times)| (format!("o{index}"), times.percentiles()))
            .collect();
        json!({
            "name": self.name, "sent": self.sent, "complete": self.complete, "refused": self.refused,
            "wrong": self.wrong, "repeated": self.repeated, "goodput": self.goodput,
            "bound": self.bound, "share": self.share(), "work": self.work_amplification,
            "first_ms": self.time_to_first_token.percentiles(), "between_ms": self.inter_token.percentiles(),
            "organisations_ms": organisations,
        })
    }
}
