//! Metrics of the daemon.

use std::time::Duration;

use ledger::verdict::TicketVerdict;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::KeyValue;
use quorum::event::Role;
use telemetry::metrics::MetricRegistry;

/// Counters, gauges and histograms of a control replica.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    verdicts: Counter<u64>,
    answers: Counter<u64>,
    leading: Gauge<u64>,
    term: Gauge<u64>,
    syncs: Histogram<f64>,
}

impl ControlMetrics {
    /// Creates the metrics in a process's registry.
    pub fn new(registry: &MetricRegistry) -> Self {
        let meter = registry.meter("control");
        Self {
            verdicts: meter
                .u64_counter("wisteria_verdicts")
                .with_description("Verdicts applied, by verdict")
                .build(),
            answers: meter
                .u64_counter("wisteria_operator_answers")
                .with_description("Answers to operators, by status")
                .build(),
            leading: meter
                .u64_gauge("wisteria_leading")
                .with_description("1 where the replica leads")
                .build(),
            term: meter
                .u64_gauge("wisteria_term")
                .with_description("Latest term of the replicated log")
                .build(),
            syncs: meter
                .f64_histogram("wisteria_sync_seconds")
                .with_description("Time to write and sync a group of log writes")
                .with_boundaries(vec![0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0])
                .build(),
        }
    }

    /// Counts a verdict that was applied.
    pub fn count_verdict(&self, verdict: &TicketVerdict) {
        let name = match verdict {
            TicketVerdict::Accepted { .. } => "accepted",
            TicketVerdict::Conflict { .. } => "conflict",
            TicketVerdict::Superseded { .. } => "superseded",
            TicketVerdict::Invalid { .. } => "invalid",
            TicketVerdict::TooOld { .. } => "too-old",
        };
        self.verdicts.add(1, &[KeyValue::new("verdict", name)]);
    }

    /// Counts an answer to an operator.
    pub fn count_answer(&self, status: u16) {
        let status = i64::from(status);
        self.answers.add(1, &[KeyValue::new("status", status)]);
    }

    /// Notes the replica's part and term.
    pub fn set_role(&self, role: Role, term: quorum::ids::Term) {
        self.leading.record(u64::from(role == Role::Leader), &[]);
        self.term.record(term, &[]);
    }

    /// Notes the time of a sync.
    pub fn record_sync(&self, took: Duration) {
        self.syncs.record(took.as_secs_f64(), &[]);
    }
}
