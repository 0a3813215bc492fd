use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Upper bound of the smallest bucket of the latency histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.0005;

/// Number of buckets of the latency histograms; each bound is twice the one before.
const BUCKET_COUNT: u16 = 16;

/// Metrics of this instance, for scraping. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    lookups: Counter,
    retries: Family<ServiceLabels, Counter>,
    hedges: Family<ServiceLabels, Counter>,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// 1 when the configuration lease has expired, 0 otherwise.
    pub fenced: Gauge,
    /// Requests from callers and peers in progress.
    pub requests_in_flight: Gauge,
    /// Number of claim records.
    pub claim_records: Gauge,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    outcome: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

impl Metrics {
    /// Registers every metric. Label values are only names from the topology and outcomes, so their
    /// number is bounded.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("laburnum");
        let requests = Family::default();
        let latency = Family::new_with_constructor(new_histogram as fn() -> Histogram);
        let (lookups, retries, hedges) = (Counter::default(), Family::default(), Family::default());
        let (configuration_version, fenced) = (Gauge::default(), Gauge::default());
        let (requests_in_flight, claim_records) = (Gauge::default(), Gauge::default());
        registry.register(
            "requests",
            "Requests by service and outcome",
            requests.clone(),
        );
        let help = "Time from a request's head to its final outcome";
        registry.register_with_unit("request_latency", help, Unit::Seconds, latency.clone());
        registry.register("lookups", "Look-ups answered", lookups.clone());
        registry.register(
            "retries",
            "Attempts after one that may have run",
            retries.clone(),
        );
        registry.register(
            "hedges",
            "Second attempts beside a slow first",
            hedges.clone(),
        );
        let help = "Version of the configuration in force";
        registry.register("configuration_version", help, configuration_version.clone());
        registry.register(
            "fenced",
            "1 when the configuration lease has run out",
            fenced.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in progress",
            requests_in_flight.clone(),
        );
        registry.register(
            "claim_records",
            "Claims that are held",
            claim_records.clone(),
        );
        Self {
            registry: Arc::new(registry),
            requests,
            latency,
            lookups,
            retries,
            hedges,
            configuration_version,
            fenced,
            requests_in_flight,
            claim_records,
        }
    }

    /// Records the outcome and latency of a request.
    pub fn record_request(&self, service: &str, outcome: &str, latency: Duration) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        self.latency
            .get_or_create(&service_labels(service))
            .observe(latency.as_secs_f64());
    }

    /// Counts a look-up.
    pub fn record_lookup(&self) {
        self.lookups.inc();
    }

    /// Counts a retry: an attempt after one that may have run.
    pub fn record_retry(&self, service: &str) {
        self.retries.get_or_create(&service_labels(service)).inc();
    }

    /// Counts a hedge: a second attempt concurrent with a slow first one.
    pub fn record_hedge(&self, service: &str) {
        self.hedges.get_or_create(&service_labels(service)).inc();
    }

    /// Returns every metric in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        text::encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }
}

fn service_labels(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: service.to_owned(),
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
