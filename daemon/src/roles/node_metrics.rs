use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use laburnumdeal_policy::customers::Customer;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::roles::Submitted;

/// Upper bound of the first bucket of the latency histograms, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.004;

/// Name of the customers that are not shown, which are counted together.
pub(super) const OTHER_CUSTOMERS: &str = "(others)";

/// Number of buckets of the latency histograms; each bound is twice the one before.
const BUCKETS: u16 = 12;

/// Metrics of one instance. Cheap to clone.
#[derive(Clone)]
pub(super) struct NodeMetrics {
    registry: Arc<Registry>,
    requests: Family<OutcomeLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    attempts_by_region: Family<RegionLabels, Counter>,
    latency: Family<ServiceLabels, Histogram>,
    retries: Family<ServiceLabels, Counter>,
    changes: Family<ChangeLabels, Counter>,
    list_reads: Counter,
    led: Gauge,
    version: Gauge,
    list_age_ms: Gauge,
    dropped_lines: Counter,
    crash_checks: Family<ResultLabels, Counter>,
    crash_reports: Gauge,
    limited_upstreams: Gauge,
    waits: Family<ResultLabels, Counter>,
    sent_in_wait: Counter,
    announced_leaving: Counter,
    reaches_upstreams: Gauge,
    helped: Family<HelpLabels, Counter>,
    help_refused: Family<ReasonLabels, Counter>,
    customer_requests: Family<CustomerLabels, Counter>,
    customer_quotas: Family<FigureLabels, Gauge>,
    customer_quota_ages: Family<CustomerLabel, Gauge>,
    customer_fair: Family<FigureLabels, Gauge<f64, AtomicU64>>,
    customer_fair_ages: Family<CustomerLabel, Gauge>,
    key_proof_ages: Family<Vec<(String, String)>, Gauge>,
    region_shares: Family<RegionLabels, Gauge>,
    knees: Family<ServiceLabels, Gauge>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct HelpLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CustomerLabels {
    customer: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CustomerLabel {
    customer: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FigureLabels {
    customer: String,
    figure: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RegionLabels {
    service: String,
    region: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ChangeLabels {
    outcome: &'static str,
}

impl NodeMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("laburnum");
        let requests = Family::default();
        let attempts = Family::default();
        let latency = Family::new_with_constructor(new_histogram as fn() -> Histogram);
        let (retries, changes) = (Family::default(), Family::default());
        let (list_reads, dropped_lines) = (Counter::default(), Counter::default());
        let (led, version, list_age_ms) = (Gauge::default(), Gauge::default(), Gauge::default());
        let help = "Requests of callers by outcome";
        registry.register("requests", help, Family::clone(&requests));
        let help = "Attempts at upstreams by outcome";
        registry.register("attempts", help, Family::clone(&attempts));
        let attempts_by_region = Family::default();
        registry.register(
            "attempts_by_region",
            "Attempts at upstreams by the region of the upstream",
            Family::clone(&attempts_by_region),
        );
        let help = "Time until the answer";
        registry.register_with_unit("request_latency", help, Unit::Seconds, latency.clone());
        let help = "Attempts that arrived after the first one of a request";
        registry.register("retries", help, Family::clone(&retries));
        let help = "Changes of operators by outcome";
        registry.register("changes", help, Family::clone(&changes));
        registry.register(
            "list_reads",
            "Reads of the list of upstreams",
            list_reads.clone(),
        );
        registry.register("led", "1 while the change log has a leader", led.clone());
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            version.clone(),
        );
        registry.register(
            "list_age_milliseconds",
            "Age of the list of upstreams",
            list_age_ms.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Log lines left out",
            dropped_lines.clone(),
        );
        let (crash_checks, crash_reports) = (Family::default(), Gauge::default());
        registry.register(
            "crash_checks",
            "Checks whether an upstream crashed, by result",
            Family::clone(&crash_checks),
        );
        registry.register(
            "crash_reports",
            "Known crashes of upstreams under requests",
            crash_reports.clone(),
        );
        let limited_upstreams = Gauge::default();
        registry.register(
            "limited_upstreams",
            "Upstreams that named a limit on their requests",
            limited_upstreams.clone(),
        );
        let (waits, sent_in_wait) = (Family::default(), Counter::default());
        registry.register(
            "upstream_waits",
            "Answers of upstreams that ask for a time without requests, by result of reading it",
            Family::clone(&waits),
        );
        registry.register(
            "sent_in_wait",
            "Attempts at upstreams that wanted no requests at that time",
            sent_in_wait.clone(),
        );
        let announced_leaving = Counter::default();
        registry.register(
            "announced_leaving",
            "Upstreams that announced in an answer that they leave, before the list showed it",
            announced_leaving.clone(),
        );
        let reaches_upstreams = Gauge::default();
        reaches_upstreams.set(1);
        registry.register(
            "reaches_upstreams",
            "0 while no upstream can be connected to",
            reaches_upstreams.clone(),
        );
        let (helped, help_refused) = (Family::default(), Family::default());
        registry.register(
            "helped_requests",
            "Requests sent to other entry instances, by outcome",
            Family::clone(&helped),
        );
        registry.register(
            "help_refused",
            "Requests of other entry instances that were not forwarded, by reason",
            Family::clone(&help_refused),
        );
        let customer_requests = Family::default();
        registry.register(
            "customer_requests",
            "Requests of the largest customers by outcome, and of all others together",
            Family::clone(&customer_requests),
        );
        let (customer_quotas, customer_quota_ages) = (Family::default(), Family::default());
        registry.register(
            "customer_quota_requests",
            "Quotas of the largest customers here, in requests in any window, and of all others",
            Family::clone(&customer_quotas),
        );
        registry.register(
            "customer_quota_age_milliseconds",
            "Time since the share of the quota was asked for; -1 if there never was one",
            Family::clone(&customer_quota_ages),
        );
        let (customer_fair, customer_fair_ages) = (Family::default(), Family::default());
        registry.register(
            "customer_fair_requests_per_second",
            "Fair shares of the largest customers in the places of this instance, and of all others",
            Family::clone(&customer_fair),
        );
        registry.register(
            "customer_fair_age_milliseconds",
            "Time since the fair share was decided; 0 while it does not bind",
            Family::clone(&customer_fair_ages),
        );
        let key_proof_ages = Family::default();
        registry.register(
            "customer_key_proof_age_milliseconds",
            "Age of the newest proof that customers' keys are fresh; -1 without one",
            Family::clone(&key_proof_ages),
        );
        let (region_shares, knees) = (Family::default(), Family::default());
        registry.register(
            "region_share_percent",
            "Share of a region in the requests of a service",
            Family::clone(&region_shares),
        );
        registry.register(
            "upstream_knee_percent",
            "Part of their slots up to which the upstreams of a service take load well",
            Family::clone(&knees),
        );
        Self {
            registry: Arc::new(registry),
            requests,
            attempts,
            attempts_by_region,
            latency,
            retries,
            changes,
            list_reads,
            led,
            version,
            list_age_ms,
            dropped_lines,
            crash_checks,
            crash_reports,
            limited_upstreams,
            waits,
            sent_in_wait,
            announced_leaving,
            reaches_upstreams,
            helped,
            help_refused,
            customer_requests,
            customer_quotas,
            customer_quota_ages,
            customer_fair,
            customer_fair_ages,
            key_proof_ages,
            region_shares,
            knees,
        }
    }

    /// Counts a finished request and records its duration.
    pub fn count_request(&self, service: &str, outcome: &'static str, took: Duration) {
        let service = service.to_owned();
        let labels = OutcomeLabels { service, outcome };
        self.requests.get_or_create(&labels).inc();
        let labels = ServiceLabels {
            service: labels.service,
        };
        let latency = self.latency.get_or_create(&labels);
        latency.observe(took.as_secs_f64());
    }

    /// Counts a finished attempt at an upstream of a region.
    pub fn count_attempt(&self, service: &str, region: String, outcome: &'static str) {
        let service = service.to_owned();
        let labels = OutcomeLabels { service, outcome };
        self.attempts.get_or_create(&labels).inc();
        let service = labels.service;
        let labels = RegionLabels { service, region };
        self.attempts_by_region.get_or_create(&labels).inc();
    }

    /// Counts an attempt that reached an upstream after the first one of its request.
    pub fn count_retry(&self, service: &str) {
        let service = service.to_owned();
        self.retries.get_or_create(&ServiceLabels { service }).inc();
    }

    /// Counts an operator's change by its outcome.
    pub fn count_change(&self, outcome: &Submitted) {
        let outcome = match outcome {
            Submitted::Accepted => "accepted",
            Submitted::Refused(_) => "refused",
            Submitted::Unknown { .. } => "unknown",
        };
        self.changes.get_or_create(&ChangeLabels { outcome }).inc();
    }

    /// Counts a read of the list of upstreams.
    pub fn count_list_read(&self) {
        self.list_reads.inc();
    }

    /// Sets whether the change log has a leader.
    pub fn set_led(&self, led: bool) {
        self.led.set(i64::from(led));
    }

    /// Sets the version of the active configuration.
    pub fn set_version(&self, version: u64) {
        self.version.set(version as i64);
    }

    /// Sets the age of the list of upstreams.
    pub fn set_list_age(&self, age: Duration) {
        self.list_age_ms.set(age.as_millis() as i64);
    }

    /// Counts log lines that the rate limit dropped.
    pub fn count_dropped_lines(&self, lines: u64) {
        self.dropped_lines.inc_by(lines);
    }

    /// Counts a check whether an upstream crashed.
    pub fn count_crash_check(&self, result: &'static str) {
        self.crash_checks
            .get_or_create(&ResultLabels { result })
            .inc();
    }

    /// Sets the number of known crash reports.
    pub fn set_crash_reports(&self, reports: usize) {
        self.crash_reports.set(reports as i64);
    }

    /// Sets the number of upstreams that named a limit.
    pub fn set_limited_upstreams(&self, upstreams: usize) {
        self.limited_upstreams.set(upstreams as i64);
    }

    /// Counts an answer of an upstream that asks for a time without requests.
    pub fn count_wait(&self, result: &'static str) {
        self.waits.get_or_create(&ResultLabels { result }).inc();
    }

    /// Counts an attempt at an upstream that wanted no requests at that time.
    pub fn count_sent_in_wait(&self) {
        self.sent_in_wait.inc();
    }

    /// Counts an upstream that announced that it leaves.
    pub fn count_announced_leaving(&self) {
        self.announced_leaving.inc();
    }

    /// Sets whether upstreams can be connected to.
    pub fn set_reaches_upstreams(&self, reaches: bool) {
        self.reaches_upstreams.set(i64::from(reaches));
    }

    /// Counts a request that was sent to another entry instance.
    pub fn count_helped(&self, outcome: &'static str) {
        let labels = HelpLabels { outcome };
        self.helped.get_or_create(&labels).inc();
    }

    /// Counts a request of another entry instance that was not forwarded.
    pub fn count_help_refused(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.help_refused.get_or_create(&labels).inc();
    }

    /// Counts a request of a customer by its outcome. Customers that are not shown count together.
    pub fn count_customer_request(&self, customer: Option<&Customer>, outcome: &'static str) {
        let shown = customer.filter(|customer| customer.is_shown);
        let unshown = if customer.is_some() {
            OTHER_CUSTOMERS
        } else {
            "(unknown)"
        };
        let labels = CustomerLabels {
            customer: shown.map_or(unshown, |customer| &customer.name).to_owned(),
            outcome,
        };
        self.customer_requests.get_or_create(&labels).inc();
    }

    /// Forgets what was set of customers.
    pub fn clear_customers(&self) {
        self.customer_quotas.clear();
        self.customer_quota_ages.clear();
        self.customer_fair.clear();
        self.customer_fair_ages.clear();
        self.key_proof_ages.clear();
    }

    /// Sets a figure of a customer's quota, in requests in any window.
    pub fn set_customer_quota(&self, customer: &str, figure: &'static str, requests: i64) {
        let customer = customer.to_owned();
        let labels = FigureLabels { customer, figure };
        self.customer_quotas.get_or_create(&labels).set(requests);
    }

    /// Sets the time since a customer's share was asked for.
    pub fn set_customer_quota_age(&self, customer: &str, age_ms: i64) {
        let customer = customer.to_owned();
        let labels = CustomerLabel { customer };
        self.customer_quota_ages.get_or_create(&labels).set(age_ms);
    }

    /// Sets a figure of a customer's fair share, in requests per second.
    pub fn set_customer_fair(&self, customer: &str, figure: &'static str, per_s: f64) {
        let customer = customer.to_owned();
        let labels = FigureLabels { customer, figure };
        self.customer_fair.get_or_create(&labels).set(per_s);
    }

    /// Sets the time since a customer's fair share was decided.
    pub fn set_customer_fair_age(&self, customer: &str, age_ms: i64) {
        let customer = customer.to_owned();
        let labels = CustomerLabel { customer };
        self.customer_fair_ages.get_or_create(&labels).set(age_ms);
    }

    /// Sets the age of the newest proof that the customers' keys are fresh.
    pub fn set_key_proof_age(&self, age_ms: i64) {
        self.key_proof_ages.get_or_create(&Vec::new()).set(age_ms);
    }

    /// Sets the share of a region in the requests of a service.
    pub fn set_region_share(&self, service: String, region: String, percent: i64) {
        let labels = RegionLabels { service, region };
        self.region_shares.get_or_create(&labels).set(percent);
    }

    /// Sets the part of their slots up to which the upstreams of a service take load well.
    pub fn set_knee(&self, service: String, percent: i64) {
        self.knees
            .get_or_create(&ServiceLabels { service })
            .set(percent);
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        text::encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}
