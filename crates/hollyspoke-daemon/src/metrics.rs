//! OpenTelemetry metrics in Prometheus' format: histograms by service, tenant and class, and
//! counters of goodput, wasted tokens and outcomes.

use std::collections::BTreeSet;

use hollyspoke::effect::Record;
use hollyspoke::site::Site;
use hollyspoke_metrics::Exporter;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// The bucket boundaries of the histograms.
const BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// The highest class with its own label; higher classes share it.
const MAX_LABELLED_CLASS: u8 = 3;

/// The label of tenants that the site does not name, which bounds the number of labels.
const OTHER_TENANT: &str = "other";

/// A daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    /// The exporter that Prometheus scrapes.
    exporter: Exporter,
    /// The time from arrival to the first token.
    first_token: Histogram<f64>,
    /// The mean time between tokens.
    between_tokens: Histogram<f64>,
    /// The time from arrival to grant.
    queued: Histogram<f64>,
    /// The time from grant to prefill result.
    prefill: Histogram<f64>,
    /// The time from prefill result to import.
    transfer: Histogram<f64>,
    /// The time from arrival to end.
    total: Histogram<f64>,
    /// Requests by outcome.
    requests: Counter<u64>,
    /// Requests that met both latency targets.
    good: Counter<u64>,
    /// Tokens generated.
    tokens: Counter<u64>,
    /// Prefilled prompt tokens whose result was discarded.
    wasted: Counter<u64>,
    /// Attempts beyond the first.
    retries: Counter<u64>,
    /// The tenants with their own label.
    tenants: BTreeSet<String>,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// When the exporter can't be set up.
    pub fn new() -> eyre::Result<Metrics> {
        let exporter = Exporter::new()?;
        let seconds = |name, description| exporter.seconds_histogram(name, description, &BUCKETS_S);
        let count = |name, description| exporter.counter(name, description);
        Ok(Metrics {
            first_token: seconds("hollyspoke_first_token", "from arrival to the first token"),
            between_tokens: seconds("hollyspoke_between_tokens", "the mean time between tokens"),
            queued: seconds("hollyspoke_queued", "from arrival to grant"),
            prefill: seconds("hollyspoke_prefill", "from grant to prefill result"),
            transfer: seconds("hollyspoke_transfer", "from prefill result to import"),
            total: seconds("hollyspoke_total", "from arrival to end"),
            requests: count("hollyspoke_requests", "requests by outcome"),
            good: count("hollyspoke_goodput", "requests that met both targets"),
            tokens: count("hollyspoke_tokens", "tokens generated"),
            wasted: count("hollyspoke_wasted_prefill_tokens", "prompt tokens computed in vain"),
            retries: count("hollyspoke_retries", "attempts beyond the first"),
            exporter,
            tenants: BTreeSet::new(),
        })
    }

    /// Sets the tenants that have their own label to those of a site.
    pub fn configure(&mut self, site: &Site) {
        self.tenants = site.tenants.iter().map(|it| it.name.clone()).collect();
    }

    /// Records one finished request.
    pub fn record(&self, record: &Record) {
        let tenant =
            if self.tenants.contains(&record.tenant) { &record.tenant } else { OTHER_TENANT };
        let labels = [
            KeyValue::new("service", record.service.clone()),
            KeyValue::new("tenant", tenant.to_owned()),
            KeyValue::new("class", i64::from(record.class.min(MAX_LABELLED_CLASS))),
        ];
        self.queued.record(record.queued.as_secs_f64(), &labels);
        self.total.record(record.total.as_secs_f64(), &labels);
        let durations = [
            (&self.first_token, record.first_token),
            (&self.between_tokens, record.between_tokens),
            (&self.prefill, record.prefill),
            (&self.transfer, record.transfer),
        ];
        for (histogram, duration) in durations {
            if let Some(duration) = duration {
                histogram.record(duration.as_secs_f64(), &labels);
            }
        }
        self.tokens.add(u64::from(record.tokens), &labels);
        self.wasted.add(u64::from(record.wasted_tokens), &labels);
        self.good.add(u64::from(record.good), &labels);
        self.retries.add(u64::from(record.attempts.saturating_sub(1)), &labels);
        let [service, tenant, class] = labels;
        let outcome = KeyValue::new("outcome", record.outcome.clone());
        self.requests.add(1, &[service, tenant, class, outcome]);
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        self.exporter.prometheus_text()
    }
}
