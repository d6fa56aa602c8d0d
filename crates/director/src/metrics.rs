//! Metrics of a control replica.

use fleet::command::CommandOutcome;
use opentelemetry::metrics::Counter;
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;
use telemetry::replica::ReplicaMetrics;

/// Metrics of a replica.
#[derive(Debug, Clone)]
pub struct DirectorMetrics {
    commands: Counter<u64>,
    /// Role, term and syncs.
    pub replica: ReplicaMetrics,
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
            replica: ReplicaMetrics::new(&meter),
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

    /// Counts an answered call of an entry host.
    pub fn count_follow(&self) {
        self.follows.add(1, &[]);
    }
}
