//! Metrics of an entry host.

use std::time::Duration;

use balance::server::AttemptEnd;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;

/// Bucket boundaries of the latency histograms.
const LATENCY_BOUNDARIES_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Counters and histograms of the request path.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    answers: Counter<u64>,
    answer_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_seconds: Histogram<f64>,
}

impl GatewayMetrics {
    /// Registers the metrics.
    pub fn new(registry: &MetricRegistry) -> Self {
        let meter = registry.meter("gateway");
        Self {
            answers: meter
                .u64_counter("wisteria_answers")
                .with_description("Answers to clients, by status and by who made them")
                .build(),
            answer_seconds: meter
                .f64_histogram("wisteria_answer_seconds")
                .with_description("Time from a request's head to its answer")
                .with_boundaries(LATENCY_BOUNDARIES_SECONDS.to_vec())
                .build(),
            attempts: meter
                .u64_counter("wisteria_attempts")
                .with_description("Sendings to backend servers, by how they ended")
                .build(),
            attempt_seconds: meter
                .f64_histogram("wisteria_attempt_seconds")
                .with_description("Time of a sending to a backend server")
                .with_boundaries(LATENCY_BOUNDARIES_SECONDS.to_vec())
                .build(),
        }
    }

    /// Records an answer to a client; `by_host` is true if the host generated the answer itself,
    /// and false if a backend server did.
    pub fn record_answer(&self, status: u16, by_host: bool, took: Duration) {
        let origin = if by_host { "host" } else { "server" };
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[status, KeyValue::new("by", origin)]);
        self.answer_seconds.record(took.as_secs_f64(), &[]);
    }

    /// Records the end and the duration of an attempt at a backend server.
    pub fn record_attempt(&self, end: AttemptEnd, took: Duration) {
        let end: &'static str = end.into();
        self.attempts.add(1, &[KeyValue::new("end", end)]);
        self.attempt_seconds.record(took.as_secs_f64(), &[]);
    }
}
