//! All metrics of a process.

use core::time::Duration;

use derive_more::Display;
use derive_more::Error;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::TextEncoder;

/// Bounds of the latency histograms in seconds: from a hop on one link to a request's whole life.
const LATENCY_BOUNDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2, 0.5, 0.9, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// Label that holds the kind of an event.
const LABEL: &str = "reason";

/// Why the metrics cannot be set up or exported.
#[derive(Debug, Display, Error)]
#[display("metrics: {_0}")]
pub struct Error(#[error(not(source))] String);

/// All metrics of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct Registry {
    gatherer: prometheus::Registry,
    provider: SdkMeterProvider,
    /// Requests refused or failed, by reason.
    refusals: Counter<u64>,
    /// Retries, by reason.
    retries: Counter<u64>,
    /// Answers from backend servers that were dropped, by reason.
    dropped: Counter<u64>,
    /// Requests that ended, by outcome.
    requests: Counter<u64>,
    /// Tokens sent to callers.
    tokens: Counter<u64>,
    /// Events that need no series of their own in code, by part and event.
    events: Counter<u64>,
    /// Requests in progress.
    in_flight: UpDownCounter<i64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    request_time: Histogram<f64>,
}

impl Registry {
    /// Creates the metrics of a process.
    ///
    /// # Errors
    ///
    /// [`Error`] when the exporter cannot be built.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .map_err(|error| Error(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("agatemill");
        Ok(Self {
            refusals: meter.u64_counter("agatemill_refusals").build(),
            retries: meter.u64_counter("agatemill_retries").build(),
            dropped: meter.u64_counter("agatemill_dropped_answers").build(),
            requests: meter.u64_counter("agatemill_requests").build(),
            tokens: meter.u64_counter("agatemill_tokens").build(),
            events: meter.u64_counter("agatemill_events").build(),
            in_flight: meter.i64_up_down_counter("agatemill_in_flight").build(),
            first_token: histogram(&meter, "agatemill_first_token_seconds"),
            between_tokens: histogram(&meter, "agatemill_between_tokens_seconds"),
            request_time: histogram(&meter, "agatemill_request_seconds"),
            gatherer: registry,
            provider,
        })
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&self, reason: agatemill_core::Reason) {
        self.refusals
            .add(1, &[KeyValue::new(LABEL, reason.as_str())]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new(LABEL, reason)]);
    }

    /// Counts an answer of a backend server that was dropped.
    pub fn count_dropped_answer(&self, reason: &'static str) {
        self.dropped.add(1, &[KeyValue::new(LABEL, reason)]);
    }

    /// Counts any other event of a part.
    pub fn count_event(&self, part: &'static str, event: &'static str) {
        self.events.add(
            1,
            &[KeyValue::new("part", part), KeyValue::new("event", event)],
        );
    }

    /// Notes that a request has arrived.
    pub fn start_request(&self) {
        self.in_flight.add(1, &[]);
    }

    /// Notes that a request has ended.
    pub fn end_request(&self, outcome: agatemill_core::Outcome, time: Duration) {
        self.in_flight.add(-1, &[]);
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome.as_str())]);
        self.request_time.record(time.as_secs_f64(), &[]);
    }

    /// Notes the first token of a request, `time` after the request arrived.
    pub fn record_first_token(&self, time: Duration) {
        self.tokens.add(1, &[]);
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Notes another token, `time` after the one before.
    pub fn record_next_token(&self, time: Duration) {
        self.tokens.add(1, &[]);
        self.between_tokens.record(time.as_secs_f64(), &[]);
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`Error`] when they cannot be encoded.
    pub fn export(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        let encode = TextEncoder::new().encode(&self.gatherer.gather(), &mut text);
        encode.map_err(|error| Error(error.to_string()))?;
        Ok(text)
    }

    /// Stops collecting.
    pub fn close(self) {
        // Fails only when another clone has closed the provider already.
        let _ = self.provider.shutdown();
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(LATENCY_BOUNDS.to_vec())
        .build()
}
