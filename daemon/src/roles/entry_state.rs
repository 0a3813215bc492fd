use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, RwLock};
use std::time::Duration;

use laburnumdeal_model::{Configuration, Target, Version, WHOLE_PERMILLE};
use laburnumdeal_policy::customers::{CustomerTable, LeaseLost};
use laburnumdeal_policy::steer::{
    ConnectionChecks, CrashReport, HelperInstances, IdleReuse, InstanceRecord, LinkCapacity,
    LinkUse, LoadBalancer, PlannedStop, RegionShare, RequestBlocks, RequestFingerprints,
    RetryBudgetShare, RouteTable, UpstreamKey, UpstreamReach, hash_of,
};
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::byte_meter::ByteMeter;
use crate::connection_pool::ConnectionPool;
use crate::dialer::Dialer;
use crate::roles::crash_checks::{self, CrashChecks};
use crate::roles::crash_queue::CrashQueue;
use crate::roles::crash_sender::CrashSource;
use crate::roles::customer_state::CustomerState;
use crate::roles::entry_node::FOLLOWED_CONTROLS;
use crate::roles::fingerprints_text::fingerprints_text;
use crate::roles::known_controls::KnownControls;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::rate_limited_log::RateLimitedLog;
use crate::roles::rpc_client::{RpcClient, RpcError};
use crate::roles::{NodeSettings, PresenceState, UpstreamList};

/// Idle connections that are kept to each upstream.
const IDLE_CONNECTIONS: usize = 16;

/// Idle connections that are kept to each other entry instance.
const HELPER_IDLE_CONNECTIONS: usize = 32;

/// Fraction of the allowed retry ratio that the instances use together.
const RETRY_RATIO_USED: f64 = 0.75;

/// Fraction of the allowed retry slack that the instances use together.
const RETRY_SLACK_USED: f64 = 0.6;

/// Limit on the retry budget of each service until the number of entry instances is known.
const INITIAL_MAX_RETRIES: f64 = 1.0;

/// Retry budgets of this instance, by service.
#[derive(Debug)]
struct RetryBudgets {
    by_service: HashMap<String, RetryBudgetShare>,
    /// Limit on the retries that one budget saves up.
    max_balance: f64,
}

/// Active configuration and the route table built from it.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveConfiguration {
    /// Configuration; `None` until one with routes is received.
    pub configuration: Option<Arc<Configuration>>,
    /// Route table of the configuration.
    pub routes: Arc<RouteTable>,
    /// Customers of the configuration.
    pub customers: Arc<CustomerTable>,
}

/// State shared by the tasks of an entry instance.
pub(super) struct EntryState {
    pub settings: NodeSettings,
    pub log: RateLimitedLog,
    pub metrics: NodeMetrics,
    pub controls: Arc<KnownControls>,
    /// Client for messages to control instances.
    pub client: RpcClient,
    /// Opens connections to upstreams.
    pub dialer: Dialer,
    /// What the link of this machine carries.
    pub link: LinkCapacity,
    /// Bytes that requests took of it, in each direction.
    pub link_meter: ByteMeter,
    link_use: Mutex<LinkUse>,
    load_balancer: Mutex<LoadBalancer>,
    pools: Mutex<HashMap<UpstreamKey, ConnectionPool>>,
    retries: Mutex<RetryBudgets>,
    active: RwLock<ActiveConfiguration>,
    /// Secret that hashes of keys depend on.
    secret: [u8; 32],
    blocks: Mutex<RequestBlocks>,
    pub crash_checks: CrashChecks,
    /// Crash reports of this instance for the control instances.
    pub crash_queue: CrashQueue,
    reach: Mutex<UpstreamReach>,
    idle_reuse: Mutex<IdleReuse>,
    connection_checks: Mutex<ConnectionChecks>,
    helpers: Mutex<HelperInstances>,
    helper_pools: Mutex<HashMap<IpAddr, ConnectionPool>>,
    list: Mutex<UpstreamList>,
    roster_hash: AtomicU64,
    /// What binds customers over all instances.
    pub customers: CustomerState,
    /// Set once the instance stops as planned.
    planned_stop: OnceLock<PlannedStop>,
    /// Notified when the instance may have become ready.
    pub readiness: Notify,
}

impl EntryState {
    pub fn new(settings: NodeSettings, dialer: Dialer, log: Logger, metrics: NodeMetrics) -> Self {
        let retries = RetryBudgets {
            by_service: HashMap::new(),
            max_balance: INITIAL_MAX_RETRIES,
        };
        let helpers = HelperInstances::new(&settings.instance, &settings.region);
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| settings.peer_address(*seed)).collect();
        let link = settings.link_capacity();
        let connection_checks = ConnectionChecks::new(settings.checks_connections);
        Self {
            link,
            link_meter: ByteMeter::default(),
            link_use: Mutex::default(),
            load_balancer: Mutex::new(LoadBalancer::new(settings.load_balancer_settings())),
            pools: Mutex::default(),
            retries: Mutex::new(retries),
            active: RwLock::default(),
            secret: rand::random(),
            blocks: Mutex::default(),
            crash_checks: CrashChecks::default(),
            crash_queue: CrashQueue::default(),
            reach: Mutex::default(),
            idle_reuse: Mutex::default(),
            connection_checks: Mutex::new(connection_checks),
            helpers: Mutex::new(helpers),
            helper_pools: Mutex::default(),
            list: Mutex::default(),
            roster_hash: AtomicU64::new(0),
            customers: CustomerState::new(&settings),
            planned_stop: OnceLock::new(),
            readiness: Notify::new(),
            controls: Arc::new(KnownControls::new(seeds)),
            client: RpcClient::default(),
            dialer: dialer.with_window(link.window_bytes()),
            log: RateLimitedLog::new(log, metrics.clone()),
            metrics,
            settings,
        }
    }

    /// Returns the control instances that this instance follows while they can be reached.
    pub fn followed_controls(&self) -> Vec<SocketAddr> {
        let EntryState {
            settings, controls, ..
        } = self;
        let mut nearest = controls.nearest_first(&settings.region, &settings.instance);
        nearest.truncate(FOLLOWED_CONTROLS);
        nearest
    }

    /// Locks the load balancer.
    pub fn load_balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.load_balancer.lock().expect("no holder panics")
    }

    /// Locks what is known of whether upstreams can be reached.
    pub fn reach(&self) -> MutexGuard<'_, UpstreamReach> {
        self.reach.lock().expect("no holder panics")
    }

    /// Measures the part of the link of this machine that is in use, in percent; `None` if the link
    /// is no limit.
    pub fn measure_link_use(&self) -> Option<u32> {
        let mut link_use = self.link_use.lock().expect("no holder panics");
        link_use.update(self.link_meter.total(), Instant::now());
        let fraction = link_use.fraction(&self.link)?;
        Some((fraction * 100.0).round() as u32)
    }

    /// Locks what is known of how long upstreams keep idle connections.
    pub fn idle_reuse(&self) -> MutexGuard<'_, IdleReuse> {
        self.idle_reuse.lock().expect("no holder panics")
    }

    /// Locks what is known of whether connections to upstreams are checked.
    pub fn connection_checks(&self) -> MutexGuard<'_, ConnectionChecks> {
        self.connection_checks.lock().expect("no holder panics")
    }

    /// Locks the other entry instances that forward requests while no upstream can be reached.
    pub fn helpers(&self) -> MutexGuard<'_, HelperInstances> {
        self.helpers.lock().expect("no holder panics")
    }

    /// Deposits the share of one request into the retry budget of its service.
    pub fn deposit_retry(&self, service: &str) {
        self.with_retry_budget(service, RetryBudgetShare::deposit);
    }

    /// Withdraws one retry from the budget of a service; returns whether there was one.
    pub fn withdraw_retry(&self, service: &str) -> bool {
        self.with_retry_budget(service, RetryBudgetShare::withdraw)
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut RetryBudgetShare) -> T,
    ) -> T {
        let mut retries = self.retries.lock().expect("no holder panics");
        let (ratio, max_balance) = (
            self.settings.retry_ratio * RETRY_RATIO_USED,
            retries.max_balance,
        );
        let budgets = &mut retries.by_service;
        if !budgets.contains_key(service) {
            budgets.insert(
                service.to_owned(),
                RetryBudgetShare::new(ratio, max_balance),
            );
        }
        update(budgets.get_mut(service).expect("it was just added"))
    }

    /// Returns the connection pool of an upstream.
    pub fn pool(&self, key: UpstreamKey, address: std::net::SocketAddr) -> ConnectionPool {
        let mut pools = self.pools.lock().expect("no holder panics");
        let pool = pools.entry(key);
        pool.or_insert_with(|| {
            ConnectionPool::with_dialer(address, IDLE_CONNECTIONS, self.dialer.clone())
        })
        .clone()
    }

    /// Returns the connection pool of another entry instance. The other one identifies this one by
    /// the address that its connections come from.
    pub fn helper_pool(&self, address: IpAddr) -> ConnectionPool {
        let mut pools = self.helper_pools.lock().expect("no holder panics");
        let open = || {
            let dialer = Dialer::from_address(self.settings.address);
            let address = self.settings.peer_address(address);
            ConnectionPool::with_dialer(address, HELPER_IDLE_CONNECTIONS, dialer)
        };
        pools.entry(address).or_insert_with(open).clone()
    }

    /// Retires all connections to upstreams that were opened by a time.
    pub fn retire_connections(&self, opened_by: Instant) {
        let pools = self.pools.lock().expect("no holder panics");
        pools.values().for_each(|pool| pool.retire(opened_by));
    }

    /// Returns the active configuration and its routes.
    pub fn active(&self) -> ActiveConfiguration {
        self.active.read().expect("no holder panics").clone()
    }

    /// Returns whether the instance is ready, leaving, or without a configuration, a list of
    /// upstreams, or the proof that its customers' keys are fresh.
    pub fn presence(&self) -> PresenceState {
        if self.is_leaving() {
            return PresenceState::Leaving;
        }
        let configured = self.active().configuration.is_some();
        let listed = self.list().read_at.is_some();
        match configured && listed && self.key_lease().is_ok() {
            true => PresenceState::Ready,
            false => PresenceState::Starting,
        }
    }

    /// Checks that the customers' keys of the active configuration may be used, if there are any.
    pub fn key_lease(&self) -> Result<(), LeaseLost> {
        if !self.customers.is_configured() {
            return Ok(());
        }
        let active = self.active().configuration;
        let version = active.map_or(Version(0), |active| active.version);
        self.customers.check_lease(version)
    }

    /// Locks what is known of requests that crash upstreams.
    pub fn blocks(&self) -> MutexGuard<'_, RequestBlocks> {
        self.blocks.lock().expect("no holder panics")
    }

    /// Reports a crash of an upstream for each of the requests that may have caused it.
    pub fn report_crash(&self, upstream: &str, fingerprints: &[u64]) {
        let (upstream, now) = (hash_of(&[upstream.as_bytes()]), Instant::now());
        let mut blocks = self.blocks();
        let reports = &mut blocks.reports;
        let new = fingerprints
            .iter()
            .filter(|fingerprint| reports.add_crash(**fingerprint, upstream, now));
        let new: Vec<CrashReport> = new
            .map(|fingerprint| CrashReport::new(*fingerprint, upstream))
            .collect();
        self.metrics.set_crash_reports(reports.len());
        drop(blocks);
        self.crash_queue.add(new);
    }

    /// Records that an upstream completed a request, and reports it if crashes are known for it.
    pub fn record_completed(&self, fingerprints: RequestFingerprints, now: Instant) {
        let Some(report) = self.blocks().record_completed(fingerprints, now) else {
            return;
        };
        if let Some(log) = self.log.limited(true) {
            info!(log, "request cleared of crashes";
                "fingerprint" => format!("{:016x}", report.fingerprint));
        }
        self.crash_queue.add([report]);
    }

    /// Adds crash reports of another instance and logs the new ones.
    pub fn add_crashes(&self, reports: &[CrashReport], source: SocketAddr) {
        let mut blocks = self.blocks();
        let new = blocks.reports.merge(reports, Instant::now());
        let total = blocks.reports.len();
        drop(blocks);
        self.metrics.set_crash_reports(total);
        if new.is_empty() {
            return;
        }
        info!(self.log.unlimited(), "crash reports received"; "source" => source.to_string(),
            "new" => new.len(), "total" => total, "fingerprints" => fingerprints_text(&new));
    }

    /// Returns whether the instance is stopping.
    pub fn is_leaving(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Marks the instance as stopping. No request is answered after `length`.
    pub fn start_leaving(&self, length: Duration) {
        let stop = PlannedStop::begin(length, Instant::now());
        let _ = self.planned_stop.set(stop);
    }

    /// Returns the time by which a request has to end that could last until `deadline`, or `None` if
    /// it comes too late in a planned stop.
    pub fn admit(&self, deadline: Instant) -> Option<Instant> {
        match self.planned_stop.get() {
            Some(stop) => stop.admit(deadline, Instant::now()),
            None => Some(deadline),
        }
    }

    /// Returns the hash of the names of the entry instances; 0 until they are known.
    pub fn roster_hash(&self) -> u64 {
        self.roster_hash.load(Ordering::Relaxed)
    }

    /// Returns the newest known list of upstreams.
    pub fn list(&self) -> UpstreamList {
        self.list.lock().expect("no holder panics").clone()
    }

    /// Activates a configuration; ignores one that is not newer, or has no items.
    pub fn update_configuration(&self, configuration: Arc<Configuration>) {
        let mut active = self.active.write().expect("no holder panics");
        let current = active.configuration.as_ref();
        if current.is_some_and(|current| current.version >= configuration.version)
            || configuration.items.is_empty()
        {
            return;
        }
        let same_items =
            current.is_some_and(|current| Arc::ptr_eq(&current.items, &configuration.items));
        if !same_items {
            active.routes = Arc::new(RouteTable::new(&configuration.items));
            active.customers = Arc::new(CustomerTable::new(&configuration.items, &self.secret));
            self.customers.set_configured(!active.customers.is_empty());
        }
        let routes = configuration.items.routes().count();
        info!(self.log.unlimited(), "configuration in force";
            "version" => configuration.version.0, "routes" => routes);
        self.metrics.set_version(configuration.version.0);
        let drains = configuration.drains.iter();
        let evacuated = drains.filter_map(|(target, drain)| match target {
            Target::Zone(zone) if drain.step_permille == WHOLE_PERMILLE => Some(zone.clone()),
            _ => None,
        });
        let mut load_balancer = self.load_balancer();
        load_balancer.update_items(&configuration.items);
        load_balancer.update_evacuated_zones(evacuated.collect(), Instant::now());
        drop(load_balancer);
        let was_missing = active.configuration.replace(configuration).is_none();
        drop(active);
        if was_missing {
            self.readiness.notify_one();
        }
    }

    /// Replaces the list of upstreams by one that was read later; ignores any other.
    pub fn update_list(&self, list: UpstreamList) {
        let mut current = self.list.lock().expect("no holder panics");
        if !list.is_newer_than(&current) {
            return;
        }
        let now = Instant::now();
        if list.hash != current.hash || current.read_at.is_none() {
            let age = list.age(now).unwrap_or_default();
            info!(self.log.unlimited(), "list of upstreams updated";
                "upstreams" => list.records.len(), "age_ms" => age.as_millis() as u64);
            let mut load_balancer = self.load_balancer();
            load_balancer.update_upstreams(&list.records, now);
            let gone: Vec<UpstreamKey> = load_balancer.removed().collect();
            let shares = load_balancer.region_shares();
            drop(load_balancer);
            self.log_moving_shares(&shares);
            let mut pools = self.pools.lock().expect("no holder panics");
            for key in gone {
                pools.remove(&key);
            }
            drop(pools);
            crash_checks::report_unannounced(self);
        }
        self.metrics.set_list_age(list.age(now).unwrap_or_default());
        let was_missing = current.read_at.is_none();
        *current = list;
        drop(current);
        if was_missing {
            self.readiness.notify_one();
        }
    }

    /// Logs the shares of regions that a bound keeps from following the upstreams at once.
    fn log_moving_shares(&self, shares: &[RegionShare]) {
        let moving = shares.iter().filter(|share| share.is_moving);
        let text = |share: &RegionShare| {
            let RegionShare {
                service, region, ..
            } = share;
            format!("{service} {region} {:.2}", share.share)
        };
        let texts: Vec<String> = moving.map(text).collect();
        if !texts.is_empty() {
            info!(self.log.unlimited(), "shares of regions are moving";
                "shares" => texts.join(", "));
        }
    }

    /// Replaces the known entry instances, and adapts the shares of this instance in
    /// system-wide limits to their number.
    pub fn update_roster(&self, hash: u64, instances: Vec<InstanceRecord>) {
        self.roster_hash.store(hash, Ordering::Relaxed);
        self.helpers().update(&instances);
        let mut load_balancer = self.load_balancer();
        load_balancer.update_instances(instances);
        let instances = load_balancer.instance_count() as f64;
        drop(load_balancer);
        let max_balance = self.settings.retry_slack * RETRY_SLACK_USED / instances;
        let mut retries = self.retries.lock().expect("no holder panics");
        retries.max_balance = max_balance;
        let budgets = retries.by_service.values_mut();
        budgets.for_each(|budget| budget.set_limit(max_balance));
        drop(retries);
        info!(self.log.unlimited(), "entry instances counted"; "instances" => instances,
            "retries_held_at_most" => max_balance);
    }
}

impl CrashSource for EntryState {
    fn crash_queue(&self) -> &CrashQueue {
        &self.crash_queue
    }

    fn receivers(&self) -> Vec<SocketAddr> {
        self.followed_controls()
    }

    fn is_relay(&self) -> bool {
        false
    }

    fn log_unsent(&self, to: SocketAddr, error: &RpcError) {
        if let Some(log) = self.log.limited(true) {
            warn!(log, "failed to send crash reports"; "control" => to.to_string(),
                "error" => %error);
        }
    }
}
