//! Metrics of a control replica.

use std::time::Duration;

use fleet::command::CommandOutcome;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::KeyValue;
use quorum::event::Role;
use quorum::ids::Term;
use telemetry::metrics::MetricRegistry;

/// Counters, gauges and histograms of a replica.
#[derive(Debug, Clone)]
pub struct DirectorMetrics {
    commands: Counter<u64>,
    leading: Gauge<u64>,
    term: Gauge<u64>,
    syncs: Histogram<f64>,
    follows: Counter<u64>,
}

impl DirectorMetrics {
    /// Creates the metrics in a process's registry.
    pub fn new(registry: &MetricRegistry) -> Self {
        let meter = registry.meter("director");
        Self {
            commands: meter
                .u64_counter("wisteria_commands")
                .with_description("Commands applied, by outcome")
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
            follows: meter
                .u64_counter("wisteria_follows")
                .with_description("Calls of entry hosts that were answered")
                .build(),
        }
    }

    /// Counts a command that was applied.
    pub fn count_command(&self, outcome: CommandOutcome) {
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.commands.add(1, &[outcome]);
    }

    /// Notes the replica's part and term.
    pub fn set_role(&self, role: Role, term: Term) {
        self.leading.record(u64::from(role == Role::Leader), &[]);
        self.term.record(term, &[]);
    }

    /// Notes the time of a sync.
    pub fn record_sync(&self, took: Duration) {
        self.syncs.record(took.as_secs_f64(), &[]);
    }

    /// Counts an answered call of an entry host.
    pub fn count_follow(&self) {
        self.follows.add(1, &[]);
    }
}
