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
use crate::flights::Flights;
use crate::metrics::Metrics;
use crate::operator_auth::OperatorAuth;
use crate::peer_client::PeerClient;
use crate::peer_proof::PeerProof;
use crate::peers_room::PeersRoom;
use crate::trace::TraceLog;

/// Retries and hedges that a request adds to the budget, in thousandths.
const RETRIES_PERMILLE: u16 = 100;

/// Retries and hedges that the budget holds at most.
const RETRY_LIMIT: u32 = 50;

/// Idle connections that are kept to each other instance for forwarded requests.
const PEER_IDLE_CONNECTIONS: usize = 64;

/// Everything that the tasks of one instance share.
pub struct State {
    /// Settings of the process.
    pub settings: Settings,
    /// Everything that exists.
    pub topology: Arc<Topology>,
    /// This instance.
    pub me: InstanceId,
    /// Availability zone of this instance.
    pub my_zone: ZoneId,
    /// This run of the process.
    pub boot: BootId,
    /// Log of the process.
    pub log: Logger,
    /// Counts and times.
    pub metrics: Metrics,
    /// Decisions about the last requests.
    pub traces: TraceLog,
    /// Operators and their tokens.
    pub operators: OperatorAuth,
    /// Proof of this instance towards others.
    pub proof: PeerProof,
    /// Messages to other instances.
    pub peers: PeerClient,
    /// Who is live.
    pub membership: Membership,
    /// Upstreams that this instance owns.
    pub pool: Pool,
    /// Requests in flight by upstream.
    pub flights: Flights,
    /// Shares of every cap.
    pub shares: CapShares,
    /// Choice between availability zones.
    pub router: Router,
    /// Keys of requests that may not be repeated.
    pub claims: ClaimTable,
    /// Seals claim tokens.
    pub sealer: TokenSealer,
    /// Retries and hedges.
    pub budget: RetryBudget,
    /// Configuration in force.
    pub configuration: ConfigurationView,
    /// Held while the configuration is pulled from a peer.
    pub pulling: tokio::sync::Mutex<()>,
    /// Load of availability zones.
    pub digests: RwLock<ZoneLoads>,
    /// Room on upstreams that other instances of this zone own.
    pub peers_room: PeersRoom,
    /// Steps at which tests hold what they want to fail.
    pub fault_points: FaultPoints,
    /// Replica of the change log, on control replicas.
    pub replica: Option<Replica<PeerClient>>,
    upstream_pools: Vec<ConnectionPool>,
    peer_pools: Vec<ConnectionPool>,
    started_at: Instant,
    leaving: watch::Sender<bool>,
    in_flight: AtomicU64,
    sequence: AtomicU64,
    random: Mutex<ChaCha8Rng>,
}

impl State {
    /// Builds the state of a process that starts now, without a replica.
    ///
    /// # Errors
    ///
    /// Returns the settings field that is wrong.
    pub fn new(settings: Settings, log: Logger) -> Result<Self, SettingsError> {
        settings.check()?;
        let topology = Arc::new(settings.build_topology()?);
        let me = settings
            .instance_id(&topology)
            .expect("checked settings name an instance");
        let my_zone = topology.instance(me).zone;
        let mut random = match settings.seed {
            Some(seed) => ChaCha8Rng::seed_from_u64(seed),
            None => ChaCha8Rng::from_os_rng(),
        };
        // Never from the seed: a restart with the same settings must have another identity.
        let boot = BootId(rand::random());
        let now = Instant::now();
        let timings = MembershipSettings::new(settings.peer_timeout_ms);
        let membership = Membership::new(me, boot, topology.clone(), timings);
        let share_settings = ShareSettings::default();
        let shares = CapShares::new(me, boot, topology.clone(), share_settings, now);
        let ramp = RampSettings::default();
        let router = Router::new(my_zone, topology.clone(), shares.clone(), ramp, now);
        let proof = PeerProof::new(&settings.peer_secret, topology.digest);
        let lease = Duration::from_millis(settings.lease_ms);
        Ok(Self {
            me,
            my_zone,
            boot,
            metrics: Metrics::new(),
            traces: TraceLog::default(),
            operators: OperatorAuth::new(&settings.operators),
            peers: PeerClient::new(topology.clone(), me, proof.clone()),
            proof,
            membership,
            pool: Pool::new(PoolSettings {
                seed: random.next_u64(),
                ..PoolSettings::default()
            }),
            flights: Flights::new(topology.upstreams.len()),
            shares,
            router,
            claims: ClaimTable::new(claim_settings(me, boot, &topology, &settings)),
            sealer: TokenSealer::new(settings.peer_secret.as_bytes()),
            budget: RetryBudget::new(RETRIES_PERMILLE, RETRY_LIMIT),
            configuration: ConfigurationView::new(topology.clone(), lease),
            pulling: tokio::sync::Mutex::new(()),
            digests: RwLock::new(ZoneLoads::new(topology.zones.len())),
            peers_room: PeersRoom::new(topology.instances.len()),
            fault_points: FaultPoints::default(),
            replica: None,
            upstream_pools: upstream_pools(&topology),
            peer_pools: peer_pools(&topology),
            started_at: now,
            leaving: watch::Sender::new(false),
            in_flight: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            random: Mutex::new(random),
            topology,
            settings,
            log,
        })
    }

    /// Returns the connections to an upstream.
    pub fn upstream_connections(&self, upstream: UpstreamId) -> &ConnectionPool {
        &self.upstream_pools[upstream.index()]
    }

    /// Returns the connections to another instance that carry forwarded requests.
    pub fn peer_connections(&self, peer: InstanceId) -> &ConnectionPool {
        &self.peer_pools[peer.index()]
    }

    /// Adds the headers that prove this instance to another.
    pub fn prove_to(&self, peer: InstanceId, headers: &mut http::HeaderMap) {
        self.peers.prove_to(peer, headers);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns once a planned stop begins.
    pub async fn left(&self) {
        let _ = self
            .leaving
            .subscribe()
            .wait_for(|is_leaving| *is_leaving)
            .await;
    }

    /// Begins a planned stop: look-ups name other instances from now on.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
        self.membership.leave();
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> InProgress {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InProgress {
            state: self.clone(),
        }
    }

    /// Returns the time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the requests in progress.
    pub fn in_progress(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Returns a new request id.
    pub fn new_request_id(&self) -> String {
        let random = self
            .random
            .lock()
            .expect("no panic while locked")
            .next_u64();
        format!("{}-{random:016x}", self.topology.instance(self.me).name)
    }

    /// Returns a random number below `below`.
    pub fn random_below(&self, below: usize) -> usize {
        self.random
            .lock()
            .expect("no panic while locked")
            .random_range(0..below.max(1))
    }

    /// Returns the number of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::AcqRel) + 1
    }

    /// Returns the room on the upstreams that this instance owns.
    pub fn own_room(&self) -> Vec<ServiceLoad> {
        let rooms = self.topology.service_ids().map(|service| {
            let room = self.pool.slot_counts(service);
            ServiceLoad {
                service,
                slots: room.total,
                in_flight: room.total.saturating_sub(room.free),
                queued: room.queued,
            }
        });
        rooms.filter(|room| room.slots > 0).collect()
    }

    /// Returns a sealed claim token whose home is this instance, or another live one of its zone
    /// when this one leaves.
    pub fn new_token(&self) -> Option<String> {
        let now = Instant::now();
        let mut live = self.membership.live_in(self.my_zone, now);
        let known = |id: &InstanceId| self.membership.boot(*id).is_some();
        live.retain(|id| self.membership.state(*id, now) == MemberState::Live && known(id));
        let home = match live.iter().position(|id| *id == self.me) {
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

    /// Brings the gauges up to date.
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

/// Counts a request as in progress until it is dropped.
pub struct InProgress {
    state: Arc<State>,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

fn claim_settings(
    me: InstanceId,
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
        ..ClaimSettings::new(me, boot)
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
        .map(|instance| ConnectionPool::new(instance.peer_address, PEER_IDLE_CONNECTIONS))
        .collect()
}
