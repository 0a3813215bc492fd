use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnumdeal_control::Replica;
use laburnumdeal_model::{
    BootId, InstanceId, Settings, SettingsError, Topology, UpstreamId, ZoneId,
};
use laburnumdeal_policy::{
    CapShares, ClaimSettings, ClaimTable, ClaimToken, MemberState, Membership, MembershipSettings,
    Pool, PoolSettings, RampSettings, RetryBudget, Router, ServiceLoad, ShareSettings, TokenSealer,
    ZoneLoads,
};
use rand::SeedableRng;
use rand::{Rng, RngCore};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::configuration_view::ConfigurationView;
use crate::connection_pool::ConnectionPool;
use crate::fault_points::FaultPoints;
use crate::in_flight_requests::InFlightRequests;
use crate::metrics::Metrics;
use crate::operator_auth::OperatorAuth;
use crate::peer_client::PeerClient;
use crate::peer_loads::PeerLoads;
use crate::peer_proof::PeerProof;
use crate::told_marks::ToldMarks;
use crate::trace::TraceLog;

/// Retries and hedges that each request adds to the retry budget, in thousandths.
const RETRY_BUDGET_PERMILLE: u16 = 100;

/// Maximum number of retries and hedges that the retry budget holds.
const RETRY_BUDGET_LIMIT: u32 = 50;

/// Maximum number of idle connections to each other instance for forwarded requests.
const MAX_IDLE_PEER_CONNECTIONS: usize = 64;

/// State that the tasks of one instance share.
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Topology: regions, zones, instances, services, upstreams and links.
    pub topology: Arc<Topology>,
    /// Id of this instance.
    pub own_id: InstanceId,
    /// Availability zone of this instance.
    pub own_zone: ZoneId,
    /// Identity of this run of the process.
    pub boot: BootId,
    /// Log of the process.
    pub log: Logger,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Traces of the most recent requests.
    pub traces: TraceLog,
    /// Authentication of operators.
    pub operators: OperatorAuth,
    /// Proofs of identity between instances.
    pub proof: PeerProof,
    /// Client that sends messages to other instances.
    pub peer_client: PeerClient,
    /// Liveness of the instances.
    pub membership: Membership,
    /// Upstreams that this instance owns.
    pub pool: Pool,
    /// In-flight requests by upstream.
    pub in_flight_requests: InFlightRequests,
    /// Up to when other instances know the marks of requests that crashed upstreams.
    pub told_marks: ToldMarks,
    /// This instance's shares of the caps.
    pub shares: CapShares,
    /// Router that chooses between availability zones.
    pub router: Router,
    /// Claims on keys of requests that may run at most once.
    pub claims: ClaimTable,
    /// Seals and opens claim tokens.
    pub sealer: TokenSealer,
    /// Budget of retries and hedges.
    pub retry_budget: RetryBudget,
    /// Configuration in force.
    pub configuration: ConfigurationView,
    /// Lock that is held while the configuration is pulled from a peer.
    pub pull_lock: tokio::sync::Mutex<()>,
    /// Load reports of availability zones.
    pub zone_loads: RwLock<ZoneLoads>,
    /// Load that other instances of this zone reported for the upstreams that they own.
    pub peer_loads: PeerLoads,
    /// Points at which tests inject faults.
    pub fault_points: FaultPoints,
    /// Replica of the change log, on control instances.
    pub replica: Option<Replica<PeerClient>>,
    upstream_pools: Vec<ConnectionPool>,
    peer_pools: Vec<ConnectionPool>,
    started_at: Instant,
    leaving: watch::Sender<bool>,
    in_progress: AtomicU64,
    heartbeat_sequence: AtomicU64,
    rng: Mutex<ChaCha8Rng>,
}

impl State {
    /// Creates the state of an instance that starts now, without a replica.
    ///
    /// # Errors
    ///
    /// Returns the settings field that is invalid.
    pub fn new(settings: Settings, log: Logger) -> Result<Self, SettingsError> {
        settings.check()?;
        let topology = Arc::new(settings.build_topology()?);
        let own_id = settings
            .instance_id(&topology)
            .expect("checked settings name an instance");
        let own_zone = topology.instance(own_id).zone;
        let mut rng = match settings.seed {
            Some(seed) => ChaCha8Rng::seed_from_u64(seed),
            None => ChaCha8Rng::from_os_rng(),
        };
        // Never from the seed: a restart with the same settings must get another boot id.
        let boot = BootId(rand::random());
        let now = Instant::now();
        let timings = MembershipSettings::new(settings.peer_timeout_ms);
        let membership = Membership::new(own_id, boot, topology.clone(), timings);
        let share_settings = ShareSettings::default();
        let shares = CapShares::new(own_id, boot, topology.clone(), share_settings, now);
        let ramp = RampSettings::default();
        let router = Router::new(own_zone, topology.clone(), shares.clone(), ramp, now);
        let proof = PeerProof::new(&settings.peer_secret, topology.digest);
        let lease = Duration::from_millis(settings.lease_ms);
        Ok(Self {
            own_id,
            own_zone,
            boot,
            metrics: Metrics::new(),
            traces: TraceLog::default(),
            operators: OperatorAuth::new(&settings.operators),
            peer_client: PeerClient::new(topology.clone(), own_id, proof.clone()),
            proof,
            membership,
            pool: Pool::new(PoolSettings {
                seed: rng.next_u64(),
                ..PoolSettings::default()
            }),
            in_flight_requests: InFlightRequests::new(topology.upstreams.len()),
            told_marks: ToldMarks::new(topology.instances.len()),
            shares,
            router,
            claims: ClaimTable::new(claim_settings(own_id, boot, &topology, &settings)),
            sealer: TokenSealer::new(settings.peer_secret.as_bytes()),
            retry_budget: RetryBudget::new(RETRY_BUDGET_PERMILLE, RETRY_BUDGET_LIMIT),
            configuration: ConfigurationView::new(topology.clone(), lease),
            pull_lock: tokio::sync::Mutex::new(()),
            zone_loads: RwLock::new(ZoneLoads::new(topology.zones.len())),
            peer_loads: PeerLoads::new(topology.instances.len()),
            fault_points: FaultPoints::default(),
            replica: None,
            upstream_pools: upstream_pools(&topology),
            peer_pools: peer_pools(&topology),
            started_at: now,
            leaving: watch::Sender::new(false),
            in_progress: AtomicU64::new(0),
            heartbeat_sequence: AtomicU64::new(0),
            rng: Mutex::new(rng),
            topology,
            settings,
            log,
        })
    }

    /// Returns the connection pool of an upstream.
    pub fn upstream_connections(&self, upstream: UpstreamId) -> &ConnectionPool {
        &self.upstream_pools[upstream.index()]
    }

    /// Returns the connection pool for requests that are forwarded to another instance.
    pub fn peer_connections(&self, peer: InstanceId) -> &ConnectionPool {
        &self.peer_pools[peer.index()]
    }

    /// Adds the headers that authenticate this instance to a peer.
    pub fn add_proof_headers(&self, peer: InstanceId, headers: &mut http::HeaderMap) {
        self.peer_client.add_proof_headers(peer, headers);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Waits until a planned stop begins.
    pub async fn wait_until_leaving(&self) {
        let _ = self
            .leaving
            .subscribe()
            .wait_for(|is_leaving| *is_leaving)
            .await;
    }

    /// Begins a planned stop: from now on look-ups name other instances.
    pub fn start_leaving(&self) {
        self.leaving.send_replace(true);
        self.membership.leave();
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> InProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        InProgressGuard {
            state: self.clone(),
        }
    }

    /// Returns the time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns a new random request id.
    pub fn new_request_id(&self) -> String {
        let random = self.rng.lock().expect("no panic while locked").next_u64();
        format!("{}-{random:016x}", self.topology.instance(self.own_id).name)
    }

    /// Returns a random number below `upper_bound`, or 0 when `upper_bound` is 0.
    pub fn random_below(&self, upper_bound: usize) -> usize {
        self.rng
            .lock()
            .expect("no panic while locked")
            .random_range(0..upper_bound.max(1))
    }

    /// Returns the sequence number of the next heartbeat.
    pub fn next_heartbeat_sequence(&self) -> u64 {
        self.heartbeat_sequence.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Returns the load of the upstreams that this instance owns, by service.
    pub fn own_loads(&self) -> Vec<ServiceLoad> {
        let loads = self.topology.service_ids().map(|service| {
            let counts = self.pool.slot_counts(service);
            ServiceLoad {
                service,
                slots: counts.total,
                in_flight: counts.total.saturating_sub(counts.free),
                queued: counts.queued,
            }
        });
        loads.filter(|load| load.slots > 0).collect()
    }

    /// Returns a sealed claim token whose home is this instance, or another live instance of its
    /// zone when this one is leaving.
    pub fn new_claim_token(&self) -> Option<String> {
        let now = Instant::now();
        let mut live = self.membership.live_in(self.own_zone, now);
        let has_known_boot = |id: &InstanceId| self.membership.boot(*id).is_some();
        live.retain(|id| {
            self.membership.state(*id, now) == MemberState::Live && has_known_boot(id)
        });
        let home = match live.iter().position(|id| *id == self.own_id) {
            Some(position) => live.remove(position),
            None if live.is_empty() => return None,
            None => live.remove(self.random_below(live.len())),
        };
        let mirror = match live.len() {
            0 => None,
            count => Some(live[self.random_below(count)]),
        };
        let token = ClaimToken {
            home,
            home_boot: self.membership.boot(home)?,
            mirror: mirror.and_then(|id| Some((id, self.membership.boot(id)?))),
            issued_ms: unix_now_ms(),
        };
        Some(self.sealer.seal(&token))
    }

    /// Updates the gauges to their current values.
    pub fn refresh_gauges(&self) {
        let version = self.configuration.version().0 as i64;
        self.metrics.configuration_version.set(version);
        self.metrics
            .fenced
            .set(i64::from(self.configuration.is_fenced()));
        self.metrics
            .requests_in_flight
            .set(self.in_progress() as i64);
        self.metrics
            .claim_records
            .set(self.claims.stats().records as i64);
    }
}

/// Guard that counts a request as in progress until it is dropped.
pub struct InProgressGuard {
    state: Arc<State>,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.state.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_millis() as u64
}

fn claim_settings(
    own_id: InstanceId,
    boot: BootId,
    topology: &Topology,
    settings: &Settings,
) -> ClaimSettings {
    let members = topology
        .instance_ids()
        .map(|id| (id, topology.instance(id).zone))
        .collect();
    ClaimSettings {
        members,
        resend_horizon_ms: settings.resend_horizon_ms,
        ..ClaimSettings::new(own_id, boot)
    }
}

fn upstream_pools(topology: &Topology) -> Vec<ConnectionPool> {
    topology
        .upstreams
        .iter()
        .map(|upstream| ConnectionPool::new(upstream.address, usize::from(upstream.slots)))
        .collect()
}

fn peer_pools(topology: &Topology) -> Vec<ConnectionPool> {
    topology
        .instances
        .iter()
        .map(|instance| ConnectionPool::new(instance.peer_address, MAX_IDLE_PEER_CONNECTIONS))
        .collect()
}
