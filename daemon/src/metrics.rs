use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Smallest bucket of the latency histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.0005;

/// Number of buckets of the latency histograms; each is twice the one before.
const BUCKETS: u16 = 16;

/// Counts and times of this instance, for scraping. Cheap to clone.
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
    /// Whether the configuration lease has run out.
    pub fenced: Gauge,
    /// Requests from callers and peers in progress.
    pub requests_in_flight: Gauge,
    /// Claims that are held.
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
    /// Registers every metric. Labels hold only names of the topology and outcomes.
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

    /// Counts a request that ended.
    pub fn ended(&self, service: &str, outcome: &str, latency: Duration) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        self.latency
            .get_or_create(&labels_of(service))
            .observe(latency.as_secs_f64());
    }

    /// Counts a look-up.
    pub fn looked_up(&self) {
        self.lookups.inc();
    }

    /// Counts an attempt after one that may have run.
    pub fn retried(&self, service: &str) {
        self.retries.get_or_create(&labels_of(service)).inc();
    }

    /// Counts a second attempt beside a slow first.
    pub fn hedged(&self, service: &str) {
        self.hedges.get_or_create(&labels_of(service)).inc();
    }

    /// Returns every metric in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        text::encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }
}

fn labels_of(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: service.to_owned(),
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
