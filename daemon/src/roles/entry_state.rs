use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use laburnumdeal_model::{Configuration, Target, WHOLE_PERMILLE};
use laburnumdeal_policy::steer::{LoadBalancer, RetryBudgetShare, RouteTable, UpstreamKey};
use slog::{Logger, info};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection_pool::ConnectionPool;
use crate::roles::crash_reports::CrashReports;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::rate_limited_log::RateLimitedLog;
use crate::roles::{NodeSettings, PresenceState, UpstreamList};

/// Idle connections that are kept to each upstream.
const IDLE_CONNECTIONS: usize = 16;

/// Part of the allowed ratio of retries that instances spend.
const RETRY_RATIO_USED: f64 = 0.75;

/// Part of the allowed slack of retries that instances spend.
const RETRY_SLACK_USED: f64 = 0.6;

/// Retries that an instance holds of each service until it knows the number of instances.
const FIRST_RETRIES: f64 = 1.0;

/// Retries that this instance may spend, by service.
#[derive(Debug)]
struct Retries {
    by_service: HashMap<String, RetryBudgetShare>,
    held_at_most: f64,
}

/// Routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub(super) struct InForce {
    /// The configuration; `None` before the first one with routes.
    pub configuration: Option<Arc<Configuration>>,
    /// Its routes.
    pub routes: Arc<RouteTable>,
}

/// What the tasks of an entry instance share.
pub(super) struct EntryState {
    pub settings: NodeSettings,
    pub events: RateLimitedLog,
    pub metrics: NodeMetrics,
    book: Mutex<LoadBalancer>,
    pools: Mutex<HashMap<UpstreamKey, ConnectionPool>>,
    retries: Mutex<Retries>,
    in_force: RwLock<InForce>,
    pub crashes: Mutex<CrashReports>,
    list: Mutex<UpstreamList>,
    roster_hash: AtomicU64,
    leaving: AtomicBool,
    /// Told when the instance may have become ready.
    pub readiness: Notify,
}

impl EntryState {
    pub fn new(settings: NodeSettings, log: Logger, metrics: NodeMetrics) -> Self {
        let retries = Retries {
            by_service: HashMap::new(),
            held_at_most: FIRST_RETRIES,
        };
        Self {
            book: Mutex::new(LoadBalancer::new(settings.book())),
            pools: Mutex::default(),
            retries: Mutex::new(retries),
            in_force: RwLock::default(),
            crashes: Mutex::default(),
            list: Mutex::default(),
            roster_hash: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            readiness: Notify::new(),
            events: RateLimitedLog::new(log, metrics.clone()),
            metrics,
            settings,
        }
    }

    /// Returns what is known of upstreams, locked.
    pub fn book(&self) -> MutexGuard<'_, LoadBalancer> {
        self.book.lock().expect("no holder panics")
    }

    /// Counts a request for the retries of its service.
    pub fn earn_retry(&self, service: &str) {
        self.with_retries(service, RetryBudgetShare::deposit);
    }

    /// Takes one retry of a service, if there is one.
    pub fn spend_retry(&self, service: &str) -> bool {
        self.with_retries(service, RetryBudgetShare::withdraw)
    }

    fn with_retries<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudgetShare) -> T) -> T {
        let mut retries = self.retries.lock().expect("no holder panics");
        let (ratio, most) = (
            self.settings.retry_ratio * RETRY_RATIO_USED,
            retries.held_at_most,
        );
        let shares = &mut retries.by_service;
        if !shares.contains_key(service) {
            shares.insert(service.to_owned(), RetryBudgetShare::new(ratio, most));
        }
        act(shares.get_mut(service).expect("it was just added"))
    }

    /// Returns the connections to an upstream.
    pub fn pool(&self, key: UpstreamKey, address: std::net::SocketAddr) -> ConnectionPool {
        let mut pools = self.pools.lock().expect("no holder panics");
        let pool = pools.entry(key);
        pool.or_insert_with(|| ConnectionPool::new(address, IDLE_CONNECTIONS))
            .clone()
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> InForce {
        self.in_force.read().expect("no holder panics").clone()
    }

    /// Returns whether the instance takes work, leaves, or has no configuration yet.
    pub fn presence(&self) -> PresenceState {
        if self.leaving.load(Ordering::Relaxed) {
            return PresenceState::Leaving;
        }
        let configured = self.in_force().configuration.is_some();
        let listed = self.list().read_at.is_some();
        match configured && listed {
            true => PresenceState::Ready,
            false => PresenceState::Starting,
        }
    }

    /// Returns whether a request crashed so many upstreams that it is refused.
    pub fn refuses(&self, fingerprint: u64) -> bool {
        let crashes = self.crashes.lock().expect("no holder panics");
        crashes.refuses(fingerprint)
    }

    /// Returns whether the instance stops.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes that the instance stops.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the hash of the list of entry instances.
    pub fn roster_hash(&self) -> u64 {
        self.roster_hash.load(Ordering::Relaxed)
    }

    /// Returns the newest list of upstreams.
    pub fn list(&self) -> UpstreamList {
        self.list.lock().expect("no holder panics").clone()
    }

    /// Puts a newer configuration in force; an older one changes nothing.
    pub fn take_configuration(&self, configuration: Arc<Configuration>) {
        let mut in_force = self.in_force.write().expect("no holder panics");
        let held = in_force.configuration.as_ref();
        if held.is_some_and(|held| held.version >= configuration.version)
            || configuration.items.is_empty()
        {
            return;
        }
        let same_items = held.is_some_and(|held| Arc::ptr_eq(&held.items, &configuration.items));
        if !same_items {
            in_force.routes = Arc::new(RouteTable::new(&configuration.items));
        }
        let routes = configuration.items.routes().count();
        info!(self.events.rare(), "configuration in force";
            "version" => configuration.version.0, "routes" => routes);
        self.metrics.version(configuration.version.0);
        let drains = configuration.drains.iter();
        let evacuated = drains.filter_map(|(target, drain)| match target {
            Target::Zone(zone) if drain.step_permille == WHOLE_PERMILLE => Some(zone.clone()),
            _ => None,
        });
        let mut book = self.book();
        book.update_items(&configuration.items);
        book.update_evacuated_zones(evacuated.collect(), Instant::now());
        drop(book);
        let was_missing = in_force.configuration.replace(configuration).is_none();
        drop(in_force);
        if was_missing {
            self.readiness.notify_one();
        }
    }

    /// Takes over a list of upstreams that was read later than the one held.
    pub fn take_list(&self, list: UpstreamList) {
        let mut held = self.list.lock().expect("no holder panics");
        if !list.is_newer_than(&held) {
            return;
        }
        let now = Instant::now();
        if list.hash != held.hash || held.read_at.is_none() {
            let age = list.age(now).unwrap_or_default();
            info!(self.events.rare(), "list of upstreams taken over";
                "upstreams" => list.records.len(), "age_ms" => age.as_millis() as u64);
            let mut book = self.book();
            book.update_upstreams(&list.records, now);
            let gone: Vec<UpstreamKey> = book.removed().collect();
            drop(book);
            let mut pools = self.pools.lock().expect("no holder panics");
            for key in gone {
                pools.remove(&key);
            }
        }
        self.metrics.list_age(list.age(now).unwrap_or_default());
        let was_missing = held.read_at.is_none();
        *held = list;
        drop(held);
        if was_missing {
            self.readiness.notify_one();
        }
    }

    /// Takes over the names of the entry instances, and the shares that follow from their number.
    pub fn take_roster(&self, hash: u64, names: Vec<String>) {
        self.roster_hash.store(hash, Ordering::Relaxed);
        let mut book = self.book();
        book.update_instances(names);
        let instances = book.instance_count() as f64;
        drop(book);
        let most = self.settings.retry_slack * RETRY_SLACK_USED / instances;
        let mut retries = self.retries.lock().expect("no holder panics");
        retries.held_at_most = most;
        let shares = retries.by_service.values_mut();
        shares.for_each(|share| share.set_limit(most));
        drop(retries);
        info!(self.events.rare(), "entry instances counted"; "instances" => instances,
            "retries_held_at_most" => most);
    }
}
