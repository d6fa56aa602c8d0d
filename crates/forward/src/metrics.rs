//! Counters of the request path.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Histogram, Meter};
use opentelemetry::KeyValue;

use crate::refusal::RequestRefusal;

/// Bounds of the buckets of request times, in seconds.
const SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Counters of the request path.
#[derive(Debug, Clone)]
pub struct ForwardMetrics {
    answers: Counter<u64>,
    refusals: Counter<u64>,
    extras: Counter<u64>,
    seconds: Histogram<f64>,
}

/// Why a request has more than one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ExtraAttempt {
    /// An attempt before it failed, was shed or was not sent.
    Retry,
    /// An attempt beside it is slow.
    Hedge,
}

impl ForwardMetrics {
    /// Creates the counters of a meter.
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
            extras: meter
                .u64_counter("wisteria_extra_attempts")
                .with_description("Attempts after or beside the first one of a request")
                .build(),
            seconds: meter
                .f64_histogram("wisteria_request_seconds")
                .with_description("Time from a request's head to the head of its answer")
                .with_boundaries(SECONDS.to_vec())
                .build(),
        }
    }

    /// Counts an answered request.
    pub(crate) fn answered(&self, took: Duration) {
        self.answers.add(1, &[]);
        self.seconds.record(took.as_secs_f64(), &[]);
    }

    /// Counts a request without an answer.
    pub(crate) fn refused(&self, refusal: &RequestRefusal) {
        let outcome: &'static str = refusal.outcome.into();
        let reason: &'static str = refusal.reason.into();
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts an attempt after or beside the first one.
    pub(crate) fn extra(&self, why: ExtraAttempt) {
        let why: &'static str = why.into();
        self.extras.add(1, &[KeyValue::new("why", why)]);
    }
}
