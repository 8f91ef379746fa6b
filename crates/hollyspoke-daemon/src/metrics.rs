//! Metrics by `opentelemetry`, read by Prometheus: histograms for each service, tenant and class,
//! and counters for goodput, waste and outcomes.

use std::collections::BTreeSet;

use hollyspoke::effect::Record;
use hollyspoke::site::Site;
use hollyspoke_metrics::Exporter;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// The bounds of histograms of seconds.
const BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// The highest class with a label of its own.
const MAX_LABELLED_CLASS: u8 = 3;

/// The label of tenants that the site's file does not name, so that labels stay few.
const OTHER_TENANT: &str = "other";

/// A daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    /// What Prometheus reads.
    exporter: Exporter,
    /// From arrival to the first token.
    first_token: Histogram<f64>,
    /// The mean time between tokens.
    between_tokens: Histogram<f64>,
    /// From arrival to grant.
    queued: Histogram<f64>,
    /// From grant to prefill result.
    prefill: Histogram<f64>,
    /// From prefill result to import.
    transfer: Histogram<f64>,
    /// From arrival to end.
    total: Histogram<f64>,
    /// Requests by outcome.
    requests: Counter<u64>,
    /// Requests that met both targets.
    good: Counter<u64>,
    /// Tokens generated.
    tokens: Counter<u64>,
    /// Prompt tokens computed whose result was thrown away.
    wasted: Counter<u64>,
    /// Attempts beyond the first.
    retries: Counter<u64>,
    /// The tenants with a label of their own.
    tenants: BTreeSet<String>,
}

impl Metrics {
    /// Makes the metrics.
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

    /// Takes the tenants that get labels from a site.
    pub fn configure(&mut self, site: &Site) {
        self.tenants = site.tenants.iter().map(|it| it.name.clone()).collect();
    }

    /// Counts one request.
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

    /// Writes all metrics in Prometheus' text form.
    pub fn text(&self) -> String {
        self.exporter.prometheus_text()
    }
}
