//! Export of metrics in the Prometheus text format.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use telemetry::metrics::MetricRegistry;

#[test]
fn a_counter_is_exported_with_its_total() {
    let registry = MetricRegistry::new().unwrap();
    let counter = registry
        .meter("test")
        .u64_counter("wisteria_requests")
        .build();
    counter.add(2, &[]);
    counter.add(3, &[]);
    let text = registry.text().unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("wisteria_requests_total"));
    assert!(line.unwrap().ends_with(" 5"), "{text}");
}
