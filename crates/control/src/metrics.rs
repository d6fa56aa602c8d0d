//! Metrics of the control replica.

use ledger::verdict::TicketVerdict;
use opentelemetry::metrics::Counter;
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;
use telemetry::replica::ReplicaMetrics;

/// Metrics of a control replica.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    verdicts: Counter<u64>,
    answers: Counter<u64>,
    /// Role, term and duration of disk syncs.
    pub replica: ReplicaMetrics,
}

impl ControlMetrics {
    /// Registers the metrics in the process's registry.
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
            replica: ReplicaMetrics::new(&meter),
        }
    }

    /// Counts the verdict on a committed ticket.
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

    /// Counts an answer to an operator by its HTTP status.
    pub fn count_answer(&self, status: u16) {
        let status = i64::from(status);
        self.answers.add(1, &[KeyValue::new("status", status)]);
    }
}
