use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_control::{Replica, ReplicaSettings};
use laburnumdeal_model::{Configuration, InstanceId, Settings};
use laburnumdeal_policy::UpstreamHandOver;
use slog::{Logger, info, warn};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::caller_handler::CallerHandler;
use crate::configuration_store::ConfigurationStore;
use crate::daemon_error::DaemonError;
use crate::fault_points::FaultPoint;
use crate::http_server::HttpServer;
use crate::leaving_upstreams::LeavingUpstreams;
use crate::operator_server::OperatorServer;
use crate::ownership_task::{self, ReceivedHandOvers};
use crate::peer_client::PeerClient;
use crate::peer_handler::PeerHandler;
use crate::peer_message::PeerRequest;
use crate::state::State;
use crate::{claim_sync, heartbeat, load_poller, platform_poller, share_borrower};

/// Time between two sweeps that close idle connections.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for telling the other instances of a new configuration version or of a planned stop.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that this instance needs to stop choosing its own upstreams once it is leaving.
const LEAVE_SETTLE_TIME: Duration = Duration::from_millis(20);

/// A running instance. Dropping it breaks every connection, as a crash would.
///
/// # Examples
///
/// ```no_run
/// use laburnumdeal_daemon::Daemon;
/// use laburnumdeal_model::Settings;
///
/// # async fn example() -> Result<(), Box<dyn std::error::Error>> {
/// let settings = Settings::open("nasr-1.jsonc".as_ref())?;
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// let daemon = Daemon::spawn(settings, log).await?;
/// daemon.stop().await;
/// # Ok(())
/// # }
/// ```
pub struct Daemon {
    state: Arc<State>,
    callers: HttpServer,
    peers: HttpServer,
    operators: OperatorServer,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Starts an instance and returns its handle.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings are invalid, the data folder cannot be read, or an
    /// address cannot be listened on.
    pub async fn spawn(settings: Settings, log: Logger) -> Result<Self, DaemonError> {
        let mut state = State::new(settings, log)?;
        let store = ConfigurationStore::of(&state);
        state.replica = open_replica(&state).await?;
        if let Some(stored) = store
            .as_ref()
            .map(ConfigurationStore::load)
            .transpose()?
            .flatten()
        {
            state.configuration.install(Arc::new(stored));
        }
        let state = Arc::new(state);
        let hand_overs = ReceivedHandOvers::default();
        let leaving_upstreams = LeavingUpstreams::new(state.topology.upstreams.len());
        let instance = state.topology.instance(state.own_id).clone();
        let handler = Arc::new(PeerHandler::new(state.clone(), hand_overs.clone()));
        let peers = HttpServer::bind(instance.peer_address, handler).await?;
        let operators = OperatorServer::bind(instance.operator_address, state.clone()).await?;
        let handler = Arc::new(CallerHandler::new(state.clone()));
        let callers = HttpServer::bind(instance.caller_address, handler).await?;
        let mut tasks = JoinSet::new();
        spawn_tasks(&mut tasks, &state, hand_overs, leaving_upstreams, store);
        info!(state.log, "instance started"; "boot" => state.boot.0,
            "callers" => instance.caller_address.to_string());
        Ok(Self {
            state,
            callers,
            peers,
            operators,
            tasks,
        })
    }

    /// Stops without aborting requests: hands over the upstreams, goes on serving while callers may
    /// hold look-ups that name this instance, waits for in-flight requests, then hands over claims.
    pub async fn stop(mut self) {
        let started_at = Instant::now();
        let state = self.state.clone();
        info!(state.log, "planned stop started"; "in_progress" => state.in_progress());
        state.start_leaving();
        state.fault_points.pause_at(FaultPoint::Leaving).await;
        hand_over_upstreams(&state).await;
        heartbeat::broadcast(&state, BROADCAST_TIMEOUT).await;
        state
            .fault_points
            .pause_at(FaultPoint::UpstreamsHandedOver)
            .await;
        tokio::time::sleep(Duration::from_millis(state.settings.lookup_ttl_ms)).await;
        let timeout = Duration::from_millis(state.settings.stop_ms);
        self.callers.stop(timeout).await;
        wait_for_requests(&state, timeout).await;
        hand_over_claims(&state).await;
        claim_sync::hand_over(&state).await;
        state
            .fault_points
            .pause_at(FaultPoint::ClaimsHandedOver)
            .await;
        if let Some(replica) = &state.replica {
            replica.stop().await;
        }
        self.peers.stop(timeout).await;
        self.tasks.shutdown().await;
        drop(self.operators);
        info!(state.log, "planned stop finished";
            "took_ms" => started_at.elapsed().as_millis() as u64);
    }

    /// Returns the points at which tests inject faults.
    #[cfg(feature = "faults")]
    pub fn fault_points(&self) -> crate::fault_points::FaultPoints {
        self.state.fault_points.clone()
    }

    /// Ends immediately and breaks every connection, as a crash would.
    pub async fn crash(mut self) {
        if let Some(replica) = &self.state.replica {
            replica.abort();
        }
        self.tasks.shutdown().await;
    }
}

async fn open_replica(state: &State) -> Result<Option<Replica<PeerClient>>, DaemonError> {
    if !state.topology.instance(state.own_id).control {
        return Ok(None);
    }
    let folder = state
        .settings
        .data_folder
        .as_ref()
        .expect("checked settings have a folder");
    let members: Vec<InstanceId> = state.topology.control_ids().collect();
    let mut settings = ReplicaSettings::new(state.own_id, members, folder, state.topology.clone());
    // Never from the setting 'seed': an empty folder must get an identity that none had before.
    settings.seed = rand::random();
    let log = state.log.new(slog::o!("part" => "control"));
    let replica = Replica::spawn(settings, state.peer_client.clone(), log).await?;
    Ok(Some(replica))
}

fn spawn_tasks(
    tasks: &mut JoinSet<()>,
    state: &Arc<State>,
    hand_overs: ReceivedHandOvers,
    leaving_upstreams: LeavingUpstreams,
    store: Option<ConfigurationStore>,
) {
    tasks.spawn(heartbeat::run(state.clone()));
    tasks.spawn(ownership_task::run(
        state.clone(),
        hand_overs,
        leaving_upstreams.clone(),
    ));
    tasks.spawn(share_borrower::run(state.clone()));
    tasks.spawn(claim_sync::run(state.clone()));
    tasks.spawn(close_idle(state.clone()));
    if let Some(address) = state.settings.platform_list {
        tasks.spawn(platform_poller::run(
            state.clone(),
            address,
            leaving_upstreams,
        ));
    }
    let upstreams = state.topology.upstream_ids();
    for upstream in upstreams.filter(|id| state.topology.upstream(*id).zone == state.own_zone) {
        tasks.spawn(load_poller::run(state.clone(), upstream));
    }
    if let Some(replica) = state.replica.clone() {
        tasks.spawn(follow_log(state.clone(), replica));
    }
    if let Some(store) = store {
        tasks.spawn(store.run(state.clone()));
    }
}

/// Installs every configuration version of the change log and tells the other instances of it.
async fn follow_log(state: Arc<State>, replica: Replica<PeerClient>) {
    let mut versions = replica.watch();
    // Without a confirmed state, the log may be about to receive later changes.
    while !replica.read_configuration().await.is_confirmed && versions.borrow().version.0 == 0 {
        tokio::time::sleep(heartbeat::HEARTBEAT_INTERVAL / 4).await;
    }
    loop {
        let configuration: Arc<Configuration> = versions.borrow_and_update().clone();
        state.configuration.install(configuration);
        let broadcaster = state.clone();
        tokio::spawn(async move { heartbeat::broadcast(&broadcaster, BROADCAST_TIMEOUT).await });
        if versions.changed().await.is_err() {
            return;
        }
    }
}

async fn close_idle(state: Arc<State>) {
    loop {
        tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
        state.peer_client.close_idle();
        for id in state.topology.upstream_ids() {
            state.upstream_connections(id).close_idle();
        }
        for id in state.topology.instance_ids() {
            state.peer_connections(id).close_idle();
        }
    }
}

/// Tells the next owner of each upstream how many requests of this instance are in flight there.
async fn hand_over_upstreams(state: &Arc<State>) {
    tokio::time::sleep(LEAVE_SETTLE_TIME).await;
    let members = state.membership.owners_in(state.own_zone, Instant::now());
    let others: Vec<InstanceId> = members
        .into_iter()
        .filter(|id| *id != state.own_id)
        .collect();
    for to in &others {
        let list: Vec<UpstreamHandOver> = state
            .topology
            .upstream_ids()
            .filter(|id| state.topology.upstream(*id).zone == state.own_zone)
            .filter(|id| laburnumdeal_policy::owner(*id, &others) == Some(*to))
            .map(|upstream| UpstreamHandOver {
                upstream,
                from: state.own_id,
                to: *to,
                in_flight: state.pool.in_flight(upstream),
                longest_deadline_ms: state.settings.stop_ms,
            })
            .collect();
        let _ = state
            .peer_client
            .call(*to, &PeerRequest::HandOverUpstreams(list))
            .await;
    }
}

/// Hands every claim over to the other live instances of this zone, or to those of other zones when
/// there is none.
async fn hand_over_claims(state: &Arc<State>) {
    let now = Instant::now();
    let mut recipients = state.membership.live_in(state.own_zone, now);
    recipients.retain(|id| *id != state.own_id);
    if recipients.is_empty() {
        let others = state
            .topology
            .instance_ids()
            .filter(|id| *id != state.own_id);
        recipients = others
            .filter(|id| state.membership.state(*id, now).takes_work())
            .collect();
    }
    let messages = state.claims.export();
    for recipient in &recipients {
        for message in &messages {
            let request = PeerRequest::HandOverClaims(Box::new(message.clone()));
            if let Err(error) = state.peer_client.call(*recipient, &request).await {
                let name = &state.topology.instance(*recipient).name;
                warn!(state.log, "could not hand over claims to instance";
                    "to" => name, "reason" => error.to_string());
                break;
            }
        }
    }
}

async fn wait_for_requests(state: &State, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while state.in_progress() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
