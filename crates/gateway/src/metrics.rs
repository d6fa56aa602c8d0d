//! Metrics of an entry host.

use std::time::Duration;

use balance::server::AttemptEnd;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Counters and histograms of the request path.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    answers: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_time: Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the metrics in a process's registry.
    pub fn new(registry: &MetricRegistry) -> Self {
        let meter = registry.meter("gateway");
        Self {
            answers: meter
                .u64_counter("wisteria_answers")
                .with_description("Answers to clients, by status and by who made them")
                .build(),
            latency: meter
                .f64_histogram("wisteria_answer_seconds")
                .with_description("Time from a request's head to its answer")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            attempts: meter
                .u64_counter("wisteria_attempts")
                .with_description("Sendings to backend servers, by how they ended")
                .build(),
            attempt_time: meter
                .f64_histogram("wisteria_attempt_seconds")
                .with_description("Time of a sending to a backend server")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
        }
    }

    /// Counts an answer to a client; `own` where the host made it by itself.
    pub fn count_answer(&self, status: u16, own: bool, took: Duration) {
        let maker = if own { "host" } else { "server" };
        let status = KeyValue::new("status", i64::from(status));
        self.answers.add(1, &[status, KeyValue::new("by", maker)]);
        self.latency.record(took.as_secs_f64(), &[]);
    }

    /// Counts the end of a sending to a backend server.
    pub fn count_attempt(&self, end: AttemptEnd, took: Duration) {
        let end: &'static str = end.into();
        self.attempts.add(1, &[KeyValue::new("end", end)]);
        self.attempt_time.record(took.as_secs_f64(), &[]);
    }
}
