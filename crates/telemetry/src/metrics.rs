//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// Reason why the metrics could not be set up or exported.
    #[derive(Debug)]
    pub enum MetricError {
        /// The exporter could not be built, or the metrics could not be encoded.
        Export(text: String) {
            display("metrics can't be exported: {text}")
        }
    }
}

/// Registry of all metrics of a process.
#[derive(Debug, Clone)]
pub struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn new() -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricError::Export(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the metrics of a part of the program.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn text(&self) -> Result<String, MetricError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|e| MetricError::Export(e.to_string()))?;
        String::from_utf8(text).map_err(|e| MetricError::Export(e.to_string()))
    }
}
