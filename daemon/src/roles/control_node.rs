use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_control::{
    AutoMembershipSettings, InstanceNames, Replica, ReplicaSettings, SubmitError,
};
use laburnumdeal_model::{
    Change, CommandId, Configuration, Region, RegionId, Submission, Topology, Verdict, Zone,
};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use crate::daemon_error::DaemonError;
use crate::http_server::HttpServer;
use crate::roles::crash_reports::CrashReports;
use crate::roles::list_history::ListHistory;
use crate::roles::list_refresher;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::page_handler::PageHandler;
use crate::roles::registry::Registry;
use crate::roles::report_store::ReportStore;
use crate::roles::rpc_client::{ReplicaLink, RpcClient};
use crate::roles::rpc_handler::RpcHandler;
use crate::roles::{NodeSettings, Presence, UpstreamList, UpstreamSource};

/// Time between two heartbeats of a leader.
const HEARTBEAT_MS: u64 = 150;

/// Shortest silence after which a follower stands for election.
const ELECTION_MS: u64 = 1_000;

/// Time that a leader may confirm reads after a majority answered.
const LEASE_MS: u64 = 800;

/// Voters of the change log: any two may be lost together.
const VOTERS: usize = 5;

/// Time in which a change has an answer for the operator.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for exchanges in progress when the process stops.
const LAST_EXCHANGES: Duration = Duration::from_millis(500);

/// Longest datagram of an entry instance.
const PRESENCE_BYTES: usize = 1_024;

/// Answer to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It is committed, or was before.
    Accepted,
    /// It is refused and has no effect.
    Refused(laburnumdeal_model::Refusal),
    /// It may be committed or not.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// What the tasks of a control instance share.
pub(super) struct ControlState {
    pub settings: NodeSettings,
    pub log: Logger,
    pub replica: Replica<ReplicaLink>,
    pub names: Arc<InstanceNames>,
    pub client: RpcClient,
    pub registry: Registry,
    pub list: watch::Sender<Arc<UpstreamList>>,
    pub lists: ListHistory,
    pub crashes: Mutex<CrashReports>,
    pub news: Mutex<ReportStore>,
    pub metrics: NodeMetrics,
}

/// Running control instance.
pub struct ControlNode {
    state: Arc<ControlState>,
    server: HttpServer,
    _pages: Option<HttpServer>,
    tasks: JoinSet<()>,
}

/// Access to a running control instance, for what serves operators and callers. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    state: Arc<ControlState>,
}

impl ControlNode {
    /// Starts a control instance.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the data folder or an address.
    pub async fn spawn<S: UpstreamSource>(
        settings: NodeSettings,
        source: S,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let me = settings.peer_address(settings.address);
        let names = Arc::new(InstanceNames::extensible());
        let client = RpcClient::default();
        let link = ReplicaLink::new(client.clone(), names.clone(), me.to_string());
        let replica_settings = replica_settings(&settings, &names)?;
        let replica = Replica::spawn(replica_settings, link, log.clone()).await?;
        let now = Instant::now();
        let state = Arc::new(ControlState {
            registry: Registry::new(now),
            list: watch::Sender::default(),
            lists: ListHistory::default(),
            crashes: Mutex::default(),
            news: Mutex::default(),
            metrics: NodeMetrics::new(),
            settings,
            log,
            replica,
            names,
            client,
        });
        let handler = Arc::new(RpcHandler::new(state.clone()));
        let server = HttpServer::bind(me, handler).await?;
        let pages = match state.settings.metrics_address {
            Some(address) => Some(PageHandler::metrics(address, state.metrics.clone()).await?),
            None => None,
        };
        let socket = UdpSocket::bind(me)
            .await
            .map_err(|source| DaemonError::Bind {
                address: me,
                source,
            })?;
        let mut tasks = JoinSet::new();
        tasks.spawn(hear(state.clone(), socket));
        tasks.spawn(list_refresher::run(state.clone(), source));
        tasks.spawn(watch_leader(state.clone()));
        info!(state.log, "control instance started"; "address" => me.to_string(),
            "first_start" => state.settings.first_start);
        Ok(Self {
            state,
            server,
            _pages: pages,
            tasks,
        })
    }

    /// Returns access to the instance.
    pub fn handle(&self) -> ControlHandle {
        ControlHandle {
            state: self.state.clone(),
        }
    }

    /// Hands leadership over and ends all tasks.
    pub async fn stop(mut self) {
        info!(self.state.log, "control instance stops");
        self.state.replica.stop().await;
        self.server.stop(LAST_EXCHANGES).await;
        self.tasks.abort_all();
    }
}

impl ControlHandle {
    /// Submits a change and waits for its outcome.
    pub async fn submit(&self, change: Change) -> Submitted {
        let command_id = new_command_id();
        let text = change.to_string();
        let submission = Submission {
            command_id: command_id.clone(),
            operator: "platform".to_owned(),
            base: None,
            at_ms: 0,
            force: true,
            dry_run: false,
            change,
        };
        let outcome = match timeout(SUBMIT_TIMEOUT, self.state.replica.submit(submission)).await {
            Ok(outcome) => submitted(outcome),
            Err(_) => Submitted::Unknown {
                reason: format!("no commit within {} ms", SUBMIT_TIMEOUT.as_millis()),
            },
        };
        info!(self.state.log, "change answered"; "command" => command_id.to_string(),
            "change" => shortened(&text), "outcome" => format!("{outcome:?}"));
        self.state.metrics.change(&outcome);
        outcome
    }

    /// Returns the newest configuration; `None` when it cannot be proved to be the newest.
    pub async fn configuration(&self) -> Option<Arc<Configuration>> {
        let confirmed = self.state.replica.read_configuration().await;
        confirmed.is_confirmed.then_some(confirmed.configuration)
    }

    /// Returns the addresses of entry instances for a caller, near ones first.
    pub fn resolve(&self, region: &str, zone: &str) -> Vec<SocketAddr> {
        self.state.registry.resolve(region, zone, Instant::now())
    }

    /// Returns the log of the process.
    pub fn log(&self) -> &Logger {
        &self.state.log
    }
}

fn submitted(outcome: Result<laburnumdeal_control::Committed, SubmitError>) -> Submitted {
    match outcome {
        Ok(committed) => match committed.verdict {
            Verdict::Accepted { .. } | Verdict::WouldAccept { .. } => Submitted::Accepted,
            Verdict::Refused(refusal) => Submitted::Refused(refusal),
        },
        Err(error) => Submitted::Unknown {
            reason: error.to_string(),
        },
    }
}

fn replica_settings(
    settings: &NodeSettings,
    names: &Arc<InstanceNames>,
) -> Result<ReplicaSettings, DaemonError> {
    let folder = settings.data_folder.as_ref();
    let folder = folder.ok_or(DaemonError::NoDataFolder)?;
    let key = |address: SocketAddr| {
        names
            .id(&address.to_string())
            .ok_or(DaemonError::NoDataFolder)
    };
    let me = key(settings.peer_address(settings.address))?;
    let mut seeds = Vec::new();
    for seed in &settings.seeds {
        seeds.push(key(settings.peer_address(*seed))?);
    }
    let topology = Arc::new(topology(settings));
    let mut replica = ReplicaSettings::new(me, seeds, folder, topology);
    replica.names = names.clone();
    replica.region.clone_from(&settings.region);
    replica.heartbeat_interval_ms = HEARTBEAT_MS;
    replica.election_timeout_ms = ELECTION_MS;
    replica.lease_ms = LEASE_MS;
    replica.auto_membership = Some(AutoMembershipSettings {
        may_bootstrap: settings.first_start,
        target_voters: VOTERS,
        min_copies: settings.machines_lost + 1,
        ..AutoMembershipSettings::default()
    });
    Ok(replica)
}

/// Returns the zones and regions; instances and upstreams are learnt while the process runs.
fn topology(settings: &NodeSettings) -> Topology {
    let mut names: Vec<&String> = settings.zone_regions.values().collect();
    names.sort();
    names.dedup();
    let region = |name: &String| names.iter().position(|other| *other == name).unwrap_or(0);
    let mut zones: Vec<Zone> = settings
        .zone_regions
        .iter()
        .map(|(zone, name)| Zone {
            name: zone.clone(),
            region: RegionId(region(name) as u8),
        })
        .collect();
    zones.sort_by(|a, b| a.name.cmp(&b.name));
    let regions = names.iter().map(|name| Region {
        name: (*name).clone(),
        intake_per_s: u64::MAX,
    });
    Topology {
        regions: regions.collect(),
        zones,
        instances: Vec::new(),
        services: Vec::new(),
        upstreams: Vec::new(),
        links: Vec::new(),
        digest: Default::default(),
    }
}

/// Takes in what entry instances tell of themselves.
async fn hear(state: Arc<ControlState>, socket: UdpSocket) {
    let mut buffer = vec![0; PRESENCE_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => rmp_serde::from_slice::<Presence>(&buffer[..length]),
            Err(error) => {
                warn!(state.log, "a datagram could not be received"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        match received {
            Ok(presence) => {
                let (name, told) = (presence.instance.clone(), presence.state);
                if state.registry.record(presence, Instant::now()) {
                    info!(state.log, "entry instance heard"; "entry" => name, "state" => %told);
                }
            }
            Err(error) => warn!(state.log, "a datagram is no presence"; "error" => %error),
        }
    }
}

/// Logs when the leader is lost or known again.
async fn watch_leader(state: Arc<ControlState>) {
    let mut before = None;
    loop {
        let leader = state
            .replica
            .leader_name()
            .filter(|_| state.replica.has_live_leader());
        if leader != before {
            info!(state.log, "leader of the change log";
                "leader" => leader.clone().unwrap_or_else(|| "none".to_owned()));
        }
        state.metrics.led(leader.is_some());
        before = leader;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

fn new_command_id() -> CommandId {
    let number: u128 = rand::random();
    let id = format!("{number:032x}").parse();
    id.expect("hexadecimal digits are a command id")
}

fn shortened(text: &str) -> String {
    const MOST_CHARS: usize = 160;
    text.chars().take(MOST_CHARS).collect()
}
