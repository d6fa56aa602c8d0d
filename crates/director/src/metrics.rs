//! Metrics of a control replica.

use fleet::command::CommandOutcome;
use opentelemetry::metrics::Counter;
use opentelemetry::KeyValue;
use telemetry::metrics::MetricRegistry;
use telemetry::replica::ReplicaMetrics;

/// Metrics of a control replica.
#[derive(Debug, Clone)]
pub struct DirectorMetrics {
    commands: Counter<u64>,
    /// Role, term and duration of disk syncs.
    pub replica: ReplicaMetrics,
    follows: Counter<u64>,
}

impl DirectorMetrics {
    /// Registers the metrics in the registry of the process.
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

    /// Counts an applied command by its outcome.
    pub fn count_command(&self, outcome: CommandOutcome) {
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.commands.add(1, &[outcome]);
    }

    /// Counts a follow request of an entry host that was answered.
    pub fn count_follow(&self) {
        self.follows.add(1, &[]);
    }
}
