//! Metrics of the request path.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Histogram, Meter};
use opentelemetry::KeyValue;

use crate::refusal::RequestRefusal;

/// Bucket boundaries of request durations, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Metrics of the request path.
#[derive(Debug, Clone)]
pub struct ForwardMetrics {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    extra_attempts: Counter<u64>,
    durations: Histogram<f64>,
}

/// Reason for which a request makes another attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ExtraAttempt {
    /// The previous attempt failed, was shed or was not sent.
    Retry,
    /// A running attempt is slow.
    Hedge,
}

impl ForwardMetrics {
    /// Creates the metrics on a meter.
    pub fn new(meter: &Meter) -> Self {
        Self {
            answers: meter
                .u64_counter("wisteria_answers")
                .with_description("Requests that a backend server answered")
                .build(),
            refusals: meter
                .u64_counter("wisteria_refusals")
                .with_description("Requests without an answer, by outcome and reason")
                .build(),
            extra_attempts: meter
                .u64_counter("wisteria_extra_attempts")
                .with_description("Attempts after or beside the first one of a request")
                .build(),
            durations: meter
                .f64_histogram("wisteria_request_seconds")
                .with_description("Time from a request's head to the head of its answer")
                .with_boundaries(DURATION_BUCKETS_SECONDS.to_vec())
                .build(),
        }
    }

    /// Counts a request that a backend server answered, and records its duration.
    pub(crate) fn record_answered(&self, duration: Duration) {
        self.answers.add(1, &[]);
        self.durations.record(duration.as_secs_f64(), &[]);
    }

    /// Counts a request without an answer, by outcome and reason.
    pub(crate) fn record_refused(&self, refusal: &RequestRefusal) {
        let outcome: &'static str = refusal.outcome.into();
        let reason: &'static str = refusal.reason.into();
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts a retry or hedge.
    pub(crate) fn record_extra_attempt(&self, kind: ExtraAttempt) {
        let kind: &'static str = kind.into();
        self.extra_attempts.add(1, &[KeyValue::new("why", kind)]);
    }
}
