//! The metrics of a daemon: OpenTelemetry instruments, exported in the Prometheus text format.

use eyre::WrapErr;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The name of the OpenTelemetry meter that creates all instruments.
const METER_NAME: &str = "hollyspoke";

/// All instruments of a process.
#[derive(Debug)]
pub struct Exporter {
    /// The registry that is exported to Prometheus.
    registry: Registry,
    /// The provider, which must outlive its instruments.
    _provider: SdkMeterProvider,
    /// The meter that creates instruments.
    meter: Meter,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    ///
    /// If the exporter can't be set up.
    pub fn new() -> eyre::Result<Exporter> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .without_scope_info()
            .build()
            .wrap_err("the metrics exporter can't be set up")?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter(METER_NAME);
        Ok(Exporter { registry, _provider: provider, meter })
    }

    /// Creates a counter.
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    /// Creates a gauge.
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(help).build()
    }

    /// Creates a histogram of durations in seconds, with the given bucket bounds.
    pub fn seconds_histogram(
        &self,
        name: &'static str,
        help: &'static str,
        bounds: &[f64],
    ) -> Histogram<f64> {
        let histogram = self.meter.f64_histogram(name).with_description(help);
        histogram.with_unit("s").with_boundaries(bounds.to_vec()).build()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
