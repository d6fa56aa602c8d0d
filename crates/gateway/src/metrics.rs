//! Metrics of an entry host.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use admission::rank::Rank;
use balance::query::RefusalCause;
use balance::server::AttemptEnd;
use opentelemetry::metrics::{Counter, Histogram};
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;

use crate::answer::HostAnswer;
use crate::close::CloseCause;

/// Bucket boundaries of the latency histograms.
const LATENCY_BOUNDARIES_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Most organisations that have a counter of their own; the requests of the others are counted together.
const MAX_COUNTED_ORGANISATIONS: usize = 128;

/// Label of the requests without an organisation.
const NO_ORGANISATION: &str = "-";

/// Label of the organisations without a counter of their own.
const OTHER_ORGANISATIONS: &str = "other";

/// Largest rank that has a counter of its own; less urgent requests are counted with it.
const MAX_COUNTED_RANK: Rank = 31;

/// Label of the requests of a deployment where ranks don't count.
const NO_RANK: i64 = -1;

/// What became of a request before it was forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessOutcome {
    /// The request was admitted.
    Admitted,
    /// No organisation holds its key.
    UnknownKey,
    /// The host couldn't tell whether an organisation holds its key.
    Undecided,
    /// No region may serve it.
    NoHome,
    /// The quota of its organisation is used up.
    OverQuota,
}

impl From<&HostAnswer> for AccessOutcome {
    /// Returns the outcome of a request whose organisation isn't known.
    fn from(answer: &HostAnswer) -> Self {
        match answer {
            HostAnswer::UnknownKey => Self::UnknownKey,
            _ => Self::Undecided,
        }
    }
}

/// Counters and histograms of the request path.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    answers: Counter<u64>,
    answer_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    attempt_seconds: Histogram<f64>,
    access: Counter<u64>,
    refusals: Counter<u64>,
    closes: Counter<u64>,
    /// Organisations that have a counter of their own.
    counted: Arc<Mutex<BTreeSet<String>>>,
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
            access: meter
                .u64_counter("wisteria_organisation_requests")
                .with_description("Requests by organisation and by what became of them before they were forwarded")
                .build(),
            refusals: meter
                .u64_counter("wisteria_refusals")
                .with_description("Refusals for lack of a backend server, by rank and cause")
                .build(),
            closes: meter
                .u64_counter("wisteria_client_closes")
                .with_description("Ends of client connections, by cause")
                .build(),
            counted: Arc::default(),
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

    /// Records what became of a request before it was forwarded.
    pub fn record_access(&self, organisation: Option<&str>, outcome: AccessOutcome) {
        let label = organisation.map_or(NO_ORGANISATION, |name| self.label(name));
        let outcome: &'static str = outcome.into();
        let labels = [
            KeyValue::new("organisation", label.to_string()),
            KeyValue::new("outcome", outcome),
        ];
        self.access.add(1, &labels);
    }

    /// Records that no backend server was chosen for a request; `rank` is `None` where ranks don't count.
    pub fn record_refusal(&self, rank: Option<Rank>, cause: RefusalCause) {
        let rank = rank.map_or(NO_RANK, |rank| i64::from(rank.min(MAX_COUNTED_RANK)));
        let cause = KeyValue::new("cause", cause.to_string());
        self.refusals.add(1, &[KeyValue::new("rank", rank), cause]);
    }

    /// Records the end of a client connection.
    pub fn record_close(&self, cause: CloseCause) {
        let cause: &'static str = cause.into();
        self.closes.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Returns the label of an organisation, which is its name for a bounded number of organisations.
    fn label<'a>(&self, name: &'a str) -> &'a str {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        if counted.contains(name) {
            return name;
        }
        if counted.len() >= MAX_COUNTED_ORGANISATIONS {
            return OTHER_ORGANISATIONS;
        }
        counted.insert(name.to_string());
        name
    }
}
