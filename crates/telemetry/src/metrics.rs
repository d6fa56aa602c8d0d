//! Metrics by OpenTelemetry, shown in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// Why metrics could not be set up or shown.
    #[derive(Debug)]
    pub enum MetricError {
        /// The exporter could not be built.
        Export(text: String) {
            display("metrics can't be exported: {text}")
        }
    }
}

/// Metrics of one process.
#[derive(Debug, Clone)]
pub struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Sets up the metrics of a process.
    ///
    /// # Errors
    ///
    /// Fails where the exporter can't be built.
    pub fn new() -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricError::Export(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter of a part, from which its counters are made.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Writes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails where a metric can't be encoded.
    pub fn text(&self) -> Result<String, MetricError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| MetricError::Export(e.to_string()))?;
        String::from_utf8(text).map_err(|e| MetricError::Export(e.to_string()))
    }
}
