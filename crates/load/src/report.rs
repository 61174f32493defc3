//! Results of a load and its latencies.

use core::time::Duration;
use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Largest latency that the histograms record, in microseconds; longer ones saturate.
const MAX_MICROS: u64 = 600_000_000;

/// Histogram of latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

/// Percentiles of latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of a load. Request latencies are measured from the planned send time.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the run.
    pub name: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete and correct answers within the deadline.
    pub complete: u64,
    /// Number of refused or failed requests, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Number of answers with tokens that belong to another request, are missing or are out of order.
    /// Anything but 0 is a fault of the system.
    pub wrong: u64,
    /// Number of repeated executions of non-idempotent calls. Anything but 0 is a fault of the system.
    pub repeated: u64,
    /// Token positions of complete answers per second of the measured window.
    pub goodput: f64,
    /// Upper bound on `goodput`; 0 when unknown.
    pub bound: f64,
    /// Ratio of the positions that engines ran to those that the complete answers need; 0 when unknown.
    pub work_amplification: f64,
    /// Time to the first token.
    pub time_to_first_token: Latencies,
    /// Latency between consecutive tokens of an answer.
    pub inter_token: Latencies,
    /// Latency to the end of the answer, by organisation.
    pub organisations: BTreeMap<u32, Latencies>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid"))
    }
}

impl Latencies {
    /// Records a latency.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the percentiles of the recorded latencies.
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
    /// Creates an empty report.
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

    /// Counts a request that was refused or failed.
    pub fn count_refusal(&mut self, reason: &str) {
        *self.refused.entry(reason.to_owned()).or_default() += 1;
    }

    /// Ratio of the goodput to its bound; 0 when the bound is unknown.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.bound > 0.0 {
            self.goodput / self.bound
        } else {
            0.0
        }
    }

    /// Header of the table whose rows [`Report::row`] formats.
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

    /// Formats the report as a row of the table.
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

    /// Converts the report to JSON.
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
