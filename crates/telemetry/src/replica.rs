//! Metrics that each replica of a log has, whatever the log holds.

use std::time::Duration;

use opentelemetry::metrics::{Gauge, Histogram, Meter};

/// Gauges and histograms of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaMetrics {
    leading: Gauge<u64>,
    term: Gauge<u64>,
    syncs: Histogram<f64>,
}

impl ReplicaMetrics {
    /// Creates the metrics of a part.
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

    /// Notes whether the replica leads, and its term.
    pub fn set_role(&self, leads: bool, term: u64) {
        self.leading.record(u64::from(leads), &[]);
        self.term.record(term, &[]);
    }

    /// Notes the time of a sync.
    pub fn record_sync(&self, took: Duration) {
        self.syncs.record(took.as_secs_f64(), &[]);
    }
}
