//! The metrics of a daemon: instruments of OpenTelemetry, written as Prometheus reads them.

use eyre::WrapErr;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The name under which all instruments are made.
const METER_NAME: &str = "hollyspoke";

/// All instruments of a process.
#[derive(Debug)]
pub struct Exporter {
    /// What Prometheus reads.
    registry: Registry,
    /// The provider; it must live as long as its instruments.
    _provider: SdkMeterProvider,
    /// What makes instruments.
    meter: Meter,
}

impl Exporter {
    /// Makes an exporter without instruments.
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

    /// Makes a counter.
    pub fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    /// Makes a gauge.
    pub fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(help).build()
    }

    /// Makes a histogram of seconds with the bounds of its buckets.
    pub fn seconds_histogram(
        &self,
        name: &'static str,
        help: &'static str,
        bounds: &[f64],
    ) -> Histogram<f64> {
        let histogram = self.meter.f64_histogram(name).with_description(help);
        histogram.with_unit("s").with_boundaries(bounds.to_vec()).build()
    }

    /// Writes all metrics in Prometheus' text form.
    pub fn prometheus_text(&self) -> String {
        let mut bytes = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
