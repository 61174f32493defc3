//! Registry of the metrics of a process.

use core::time::Duration;

use derive_more::Display;
use derive_more::Error;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::TextEncoder;

/// Bucket boundaries of the latency histograms in seconds, from one hop over a link to the duration of a request.
const LATENCY_BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.2, 0.5, 0.9, 2.0, 5.0, 10.0, 30.0, 120.0,
];

/// Label of the counters that are split by reason.
const REASON_LABEL: &str = "reason";

/// Label of the number of connections.
const PURPOSE_LABEL: &str = "purpose";

/// Error when metrics cannot be set up or exported.
#[derive(Debug, Display, Error)]
#[display("metrics: {_0}")]
pub struct Error(#[error(not(source))] String);

/// Metrics of a process. Clones share the same metrics.
#[derive(Clone, Debug)]
pub struct Registry {
    gatherer: prometheus::Registry,
    provider: SdkMeterProvider,
    /// Requests refused or failed, by reason.
    refusals: Counter<u64>,
    /// Retries, by reason.
    retries: Counter<u64>,
    /// Dropped responses of backend servers, by reason.
    dropped: Counter<u64>,
    /// Finished requests, by outcome.
    requests: Counter<u64>,
    /// Tokens sent to callers.
    tokens: Counter<u64>,
    /// Events without a counter of their own, by part and event.
    events: Counter<u64>,
    /// Decisions of the admission, by urgency.
    admissions: Counter<u64>,
    /// Time from the arrival of a request to its admission, by urgency.
    admission_wait: Histogram<f64>,
    /// Requests that wait for room at the servers, by urgency.
    admission_waiting: UpDownCounter<i64>,
    /// Share of a server's memory that the last admitted request might fill, by urgency.
    admission_fill: Gauge<f64>,
    /// Requests in progress.
    in_flight: UpDownCounter<i64>,
    /// Open connections, by purpose.
    connections: UpDownCounter<i64>,
    /// Closed connections of callers and other peers, by reason.
    closed_connections: Counter<u64>,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    request_time: Histogram<f64>,
}

impl Registry {
    /// Creates the metrics of a process.
    ///
    /// # Errors
    ///
    /// [`struct@Error`] when the exporter cannot be built.
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
            admissions: meter.u64_counter("agatemill_admissions").build(),
            admission_wait: histogram(&meter, "agatemill_admission_wait_seconds"),
            admission_waiting: meter
                .i64_up_down_counter("agatemill_admission_waiting")
                .build(),
            admission_fill: meter.f64_gauge("agatemill_admission_fill").build(),
            in_flight: meter.i64_up_down_counter("agatemill_in_flight").build(),
            connections: meter.i64_up_down_counter("agatemill_connections").build(),
            closed_connections: meter.u64_counter("agatemill_closed_connections").build(),
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
            .add(1, &[KeyValue::new(REASON_LABEL, reason.as_str())]);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new(REASON_LABEL, reason)]);
    }

    /// Counts a dropped response of a backend server.
    pub fn count_dropped_answer(&self, reason: &'static str) {
        self.dropped.add(1, &[KeyValue::new(REASON_LABEL, reason)]);
    }

    /// Counts an event that has no counter of its own, by the part in which it occurred.
    pub fn count_event(&self, part: &'static str, event: &'static str) {
        self.events.add(
            1,
            &[KeyValue::new("part", part), KeyValue::new("event", event)],
        );
    }

    /// Counts a decision of the admission: `admitted`, `waits` or `refused`.
    pub fn count_admission(&self, urgency: agatemill_core::Urgency, decision: &'static str) {
        let labels = [
            KeyValue::new("urgency", urgency.to_string()),
            KeyValue::new("decision", decision),
        ];
        self.admissions.add(1, &labels);
    }

    /// Adds `change` to the number of requests that wait for room at the servers.
    pub fn change_waiting(&self, urgency: agatemill_core::Urgency, change: i64) {
        let labels = [KeyValue::new("urgency", urgency.to_string())];
        self.admission_waiting.add(change, &labels);
    }

    /// Records a request that was admitted `wait` after its arrival and might fill the share `fill` of a server's memory.
    pub fn record_admission(&self, urgency: agatemill_core::Urgency, fill: f64, wait: Duration) {
        self.count_admission(urgency, "admitted");
        let labels = [KeyValue::new("urgency", urgency.to_string())];
        self.admission_wait.record(wait.as_secs_f64(), &labels);
        self.admission_fill.record(fill, &labels);
    }

    /// Exposes the bytes that are held for a purpose, which `read` returns, at each export.
    pub fn observe_held(
        &self,
        purpose: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let label = [KeyValue::new("purpose", purpose)];
        self.provider
            .meter("agatemill")
            .u64_observable_gauge("agatemill_held_bytes")
            .with_callback(move |observer| observer.observe(read(), &label))
            .build();
    }

    /// Increments the number of open connections of a purpose.
    pub fn open_connection(&self, purpose: &'static str) {
        self.connections
            .add(1, &[KeyValue::new(PURPOSE_LABEL, purpose)]);
    }

    /// Decrements the number of open connections of a purpose.
    pub fn close_connection(&self, purpose: &'static str) {
        self.connections
            .add(-1, &[KeyValue::new(PURPOSE_LABEL, purpose)]);
    }

    /// Counts a connection that was closed.
    pub fn count_closed_connection(&self, reason: &'static str) {
        self.closed_connections
            .add(1, &[KeyValue::new(REASON_LABEL, reason)]);
    }

    /// Increments the number of requests in progress.
    pub fn start_request(&self) {
        self.in_flight.add(1, &[]);
    }

    /// Counts a finished request, records its duration and decrements the number of requests in progress.
    pub fn end_request(&self, outcome: agatemill_core::Outcome, time: Duration) {
        self.in_flight.add(-1, &[]);
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome.as_str())]);
        self.request_time.record(time.as_secs_f64(), &[]);
    }

    /// Counts the first token of a request; `time` is the time since the arrival of the request.
    pub fn record_first_token(&self, time: Duration) {
        self.tokens.add(1, &[]);
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Counts another token; `time` is the time since the previous token.
    pub fn record_next_token(&self, time: Duration) {
        self.tokens.add(1, &[]);
        self.between_tokens.record(time.as_secs_f64(), &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// [`struct@Error`] when they cannot be encoded.
    pub fn export(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        let encode = TextEncoder::new().encode(&self.gatherer.gather(), &mut text);
        encode.map_err(|error| Error(error.to_string()))?;
        Ok(text)
    }

    /// Shuts the meter provider down, which stops the collection.
    pub fn close(self) {
        // Fails only if another clone has already shut the provider down.
        let _ = self.provider.shutdown();
    }
}

fn histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_boundaries(LATENCY_BUCKETS.to_vec())
        .build()
}
