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
use crate::ownership_task::{self, HandedOver};
use crate::peer_client::PeerClient;
use crate::peer_handler::PeerHandler;
use crate::peer_message::PeerRequest;
use crate::state::State;
use crate::{claim_sync, heartbeat, load_poller, platform_poller, share_borrower};

/// Time between two looks for connections that have been idle for long.
const CLOSE_IDLE_EVERY: Duration = Duration::from_secs(5);

/// Longest time for telling other instances of a new version or of a planned stop.
const TOLD: Duration = Duration::from_millis(500);

/// Time that this instance takes to stop choosing upstreams of its own once it leaves.
const LEAVE_SETTLES: Duration = Duration::from_millis(20);

/// A running instance. Dropping it breaks every connection, as a crash does.
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
    /// Returns what is wrong with the settings, the data folder or an address.
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
            state.configuration.offer(Arc::new(stored));
        }
        let state = Arc::new(state);
        let handed_over = HandedOver::default();
        let leaving = LeavingUpstreams::new(state.topology.upstreams.len());
        let instance = state.topology.instance(state.me).clone();
        let handler = Arc::new(PeerHandler::new(state.clone(), handed_over.clone()));
        let peers = HttpServer::bind(instance.peer_address, handler).await?;
        let operators = OperatorServer::bind(instance.operator_address, state.clone()).await?;
        let handler = Arc::new(CallerHandler::new(state.clone()));
        let callers = HttpServer::bind(instance.caller_address, handler).await?;
        let mut tasks = JoinSet::new();
        spawn_tasks(&mut tasks, &state, handed_over, leaving, store);
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

    /// Stops without cutting off a request: goes on serving while callers hold look-ups that name
    /// this instance, hands over what it owns, then waits for what is in flight.
    pub async fn stop(mut self) {
        let started_at = Instant::now();
        let state = self.state.clone();
        info!(state.log, "planned stop begins"; "in_progress" => state.in_progress());
        state.leave();
        state.fault_points.pause_at(FaultPoint::Leaving).await;
        hand_over_upstreams(&state).await;
        heartbeat::tell_all(&state, TOLD).await;
        state
            .fault_points
            .pause_at(FaultPoint::UpstreamsHandedOver)
            .await;
        tokio::time::sleep(Duration::from_millis(state.settings.lookup_ttl_ms)).await;
        let most = Duration::from_millis(state.settings.stop_ms);
        self.callers.stop(most).await;
        wait_for_requests(&state, most).await;
        hand_over_claims(&state).await;
        claim_sync::leave(&state).await;
        state
            .fault_points
            .pause_at(FaultPoint::ClaimsHandedOver)
            .await;
        if let Some(replica) = &state.replica {
            replica.stop().await;
        }
        self.peers.stop(most).await;
        self.tasks.shutdown().await;
        drop(self.operators);
        info!(state.log, "planned stop ended";
            "took_ms" => started_at.elapsed().as_millis() as u64);
    }

    /// Returns the steps at which tests hold what they want to fail.
    #[cfg(feature = "faults")]
    pub fn fault_points(&self) -> crate::fault_points::FaultPoints {
        self.state.fault_points.clone()
    }

    /// Ends at once and breaks every connection, as a crash does.
    pub async fn crash(mut self) {
        if let Some(replica) = &self.state.replica {
            replica.abort();
        }
        self.tasks.shutdown().await;
    }
}

async fn open_replica(state: &State) -> Result<Option<Replica<PeerClient>>, DaemonError> {
    if !state.topology.instance(state.me).control {
        return Ok(None);
    }
    let folder = state
        .settings
        .data_folder
        .as_ref()
        .expect("checked settings have a folder");
    let members: Vec<InstanceId> = state.topology.control_ids().collect();
    let mut settings = ReplicaSettings::new(state.me, members, folder, state.topology.clone());
    // Never from the setting 'seed': a blank folder must get an identity that no other had.
    settings.seed = rand::random();
    let log = state.log.new(slog::o!("part" => "control"));
    let replica = Replica::spawn(settings, state.peers.clone(), log).await?;
    Ok(Some(replica))
}

fn spawn_tasks(
    tasks: &mut JoinSet<()>,
    state: &Arc<State>,
    handed_over: HandedOver,
    leaving: LeavingUpstreams,
    store: Option<ConfigurationStore>,
) {
    tasks.spawn(heartbeat::run(state.clone()));
    tasks.spawn(ownership_task::run(
        state.clone(),
        handed_over,
        leaving.clone(),
    ));
    tasks.spawn(share_borrower::run(state.clone()));
    tasks.spawn(claim_sync::run(state.clone()));
    tasks.spawn(close_idle(state.clone()));
    if let Some(address) = state.settings.platform_list {
        tasks.spawn(platform_poller::run(state.clone(), address, leaving));
    }
    let upstreams = state.topology.upstream_ids();
    for upstream in upstreams.filter(|id| state.topology.upstream(*id).zone == state.my_zone) {
        tasks.spawn(load_poller::run(state.clone(), upstream));
    }
    if let Some(replica) = state.replica.clone() {
        tasks.spawn(follow_log(state.clone(), replica));
    }
    if let Some(store) = store {
        tasks.spawn(store.run(state.clone()));
    }
}

/// Puts every version of the change log in force and tells the other instances of it.
async fn follow_log(state: Arc<State>, replica: Replica<PeerClient>) {
    let mut versions = replica.watch();
    // A log that has no confirmed state yet may be about to learn of later changes.
    while !replica.read_configuration().await.is_confirmed && versions.borrow().version.0 == 0 {
        tokio::time::sleep(heartbeat::BEAT_EVERY / 4).await;
    }
    loop {
        let configuration: Arc<Configuration> = versions.borrow_and_update().clone();
        state.configuration.offer(configuration);
        let teller = state.clone();
        tokio::spawn(async move { heartbeat::tell_all(&teller, TOLD).await });
        if versions.changed().await.is_err() {
            return;
        }
    }
}

async fn close_idle(state: Arc<State>) {
    loop {
        tokio::time::sleep(CLOSE_IDLE_EVERY).await;
        state.peers.close_idle();
        for id in state.topology.upstream_ids() {
            state.upstream_connections(id).close_idle();
        }
        for id in state.topology.instance_ids() {
            state.peer_connections(id).close_idle();
        }
    }
}

/// Tells the next owner of each upstream how many requests of this instance still run there.
async fn hand_over_upstreams(state: &Arc<State>) {
    tokio::time::sleep(LEAVE_SETTLES).await;
    let members = state.membership.owners_in(state.my_zone, Instant::now());
    let others: Vec<InstanceId> = members.into_iter().filter(|id| *id != state.me).collect();
    for to in &others {
        let list: Vec<UpstreamHandOver> = state
            .topology
            .upstream_ids()
            .filter(|id| state.topology.upstream(*id).zone == state.my_zone)
            .filter(|id| laburnumdeal_policy::owner(*id, &others) == Some(*to))
            .map(|upstream| UpstreamHandOver {
                upstream,
                from: state.me,
                to: *to,
                in_flight: state.pool.in_flight(upstream),
                longest_deadline_ms: state.settings.stop_ms,
            })
            .collect();
        let _ = state
            .peers
            .call(*to, &PeerRequest::HandOverUpstreams(list))
            .await;
    }
}

/// Hands every claim to the other live instances of the zone, or of the others when there is none.
async fn hand_over_claims(state: &Arc<State>) {
    let now = Instant::now();
    let mut heirs = state.membership.live_in(state.my_zone, now);
    heirs.retain(|id| *id != state.me);
    if heirs.is_empty() {
        let everyone = state.topology.instance_ids().filter(|id| *id != state.me);
        heirs = everyone
            .filter(|id| state.membership.state(*id, now).takes_work())
            .collect();
    }
    let messages = state.claims.export();
    for heir in &heirs {
        for message in &messages {
            let request = PeerRequest::HandOverClaims(Box::new(message.clone()));
            if let Err(error) = state.peers.call(*heir, &request).await {
                let name = &state.topology.instance(*heir).name;
                warn!(state.log, "claims not handed over";
                    "to" => name, "reason" => error.to_string());
                break;
            }
        }
    }
}

async fn wait_for_requests(state: &State, most: Duration) {
    let until = Instant::now() + most;
    while state.in_progress() > 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
