//! Metrics of a replica of a replicated log.

use std::time::Duration;

use opentelemetry::metrics::{Gauge, Histogram, Meter};

/// Metrics of a replica, independent of the content of its log.
#[derive(Debug, Clone)]
pub struct ReplicaMetrics {
    leading: Gauge<u64>,
    term: Gauge<u64>,
    syncs: Histogram<f64>,
}

impl ReplicaMetrics {
    /// Creates the metrics with a meter.
    pub fn new(meter: &Meter) -> Self {
        Self {
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

    /// Records whether the replica is the leader, and its term.
    pub fn set_role(&self, is_leader: bool, term: u64) {
        self.leading.record(u64::from(is_leader), &[]);
        self.term.record(term, &[]);
    }

    /// Records the duration of one write and sync of the log.
    pub fn record_sync(&self, duration: Duration) {
        self.syncs.record(duration.as_secs_f64(), &[]);
    }
}
