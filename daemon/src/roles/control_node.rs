use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_control::{
    AutoMembershipSettings, InstanceNames, Replica, ReplicaSettings, SubmitError,
};
use laburnumdeal_model::{
    Change, CommandId, Configuration, Region, RegionId, Submission, Topology, Verdict, Zone,
};
use laburnumdeal_policy::steer::{CrashReport, CrashReports, SpeedStore};
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use crate::daemon_error::DaemonError;
use crate::http_server::HttpServer;
use crate::roles::crash_file::{self, CrashFile};
use crate::roles::crash_queue::CrashQueue;
use crate::roles::crash_sender::{self, CrashSource};
use crate::roles::customer_bank::CustomerBank;
use crate::roles::fingerprints_text::fingerprints_text;
use crate::roles::list_history::ListHistory;
use crate::roles::list_refresher;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::page_handler::PageHandler;
use crate::roles::registry::Registry;
use crate::roles::report_store::ReportStore;
use crate::roles::rpc_client::{ReplicaLink, RpcClient, RpcError};
use crate::roles::rpc_handler::RpcHandler;
use crate::roles::{Announcement, NodeSettings, UpstreamList, UpstreamSource};

/// Interval between the heartbeats of a leader.
const HEARTBEAT_INTERVAL_MS: u64 = 150;

/// Minimum election timeout: a follower without a heartbeat for that long starts an election.
const ELECTION_TIMEOUT_MS: u64 = 1_000;

/// Leader lease: time for which a leader may confirm reads after a majority answered.
const LEASE_MS: u64 = 800;

/// Least number of voting replicas of the change log; with five, any two may fail at the same time.
const VOTERS: usize = 5;

/// Time after which the operator is told that the outcome of a change is unknown.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for HTTP exchanges in progress to finish when the process stops.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest presence datagram of an entry instance.
const MAX_PRESENCE_BYTES: usize = 1_024;

/// Interval at which the spread of callers over regions is shown.
const SPREAD_SHOWN_INTERVAL: Duration = Duration::from_secs(1);

/// Answer to an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It is committed, by this submission or an earlier one.
    Accepted,
    /// It is refused and has no effect.
    Refused(laburnumdeal_model::Refusal),
    /// It is not known whether it is or will be committed.
    Unknown {
        /// What went wrong.
        reason: String,
    },
}

/// State shared by the tasks of a control instance.
pub(super) struct ControlState {
    pub settings: NodeSettings,
    pub log: Logger,
    pub replica: Replica<ReplicaLink>,
    pub names: Arc<InstanceNames>,
    pub client: RpcClient,
    pub registry: Registry,
    pub list: watch::Sender<Arc<UpstreamList>>,
    pub list_history: ListHistory,
    /// Random number of this start.
    pub start: u64,
    pub crashes: Mutex<CrashReports>,
    /// Notified when crash reports are new and not saved yet.
    pub crashes_unsaved: Notify,
    /// Crash reports of entry instances for the other control instances.
    pub crash_queue: CrashQueue,
    pub reports: Mutex<ReportStore>,
    pub speeds: Mutex<SpeedStore>,
    /// Answers on customers while this instance leads.
    pub customers: CustomerBank,
    pub metrics: NodeMetrics,
}

/// Running control instance.
pub struct ControlNode {
    state: Arc<ControlState>,
    server: HttpServer,
    _pages: Option<HttpServer>,
    tasks: JoinSet<()>,
}

/// Handle to a running control instance, for the servers of operators and callers. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    state: Arc<ControlState>,
}

impl ControlState {
    /// Returns the address at which other instances reach this one.
    pub fn own_address(&self) -> SocketAddr {
        self.settings.peer_address(self.settings.address)
    }

    /// Adds crash reports of another instance and logs the new ones. Returns the reports on requests
    /// of which something is new.
    pub fn add_crashes(&self, reports: &[CrashReport], source: IpAddr) -> Vec<CrashReport> {
        let mut crashes = self.crashes.lock().expect("no holder panics");
        let new = crashes.merge(reports, Instant::now());
        let total = crashes.len();
        drop(crashes);
        self.metrics.set_crash_reports(total);
        if new.is_empty() {
            return Vec::new();
        }
        self.crashes_unsaved.notify_one();
        warn!(self.log, "crash reports received"; "source" => source.to_string(),
            "new" => new.len(), "total" => total, "fingerprints" => fingerprints_text(&new));
        let is_new = |report: &&CrashReport| new.contains(&report.fingerprint);
        reports.iter().filter(is_new).copied().collect()
    }
}

impl CrashSource for ControlState {
    fn crash_queue(&self) -> &CrashQueue {
        &self.crash_queue
    }

    fn receivers(&self) -> Vec<SocketAddr> {
        let own_address = self.own_address();
        let members = self.replica.members().into_iter();
        let addresses = members.filter_map(|member| member.instance.parse().ok());
        addresses
            .filter(|address| *address != own_address)
            .collect()
    }

    fn is_relay(&self) -> bool {
        true
    }

    fn log_unsent(&self, to: SocketAddr, error: &RpcError) {
        warn!(self.log, "failed to send crash reports"; "control" => to.to_string(),
            "error" => %error);
    }
}

impl ControlNode {
    /// Starts a control instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the data folder cannot be used or an address cannot be bound.
    pub async fn spawn<S: UpstreamSource>(
        settings: NodeSettings,
        source: S,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let own_address = settings.peer_address(settings.address);
        let names = Arc::new(InstanceNames::extensible());
        let client = RpcClient::default();
        let link = ReplicaLink::new(client.clone(), names.clone(), own_address.to_string());
        let replica_settings = replica_settings(&settings, &names)?;
        let replica = Replica::spawn(replica_settings, link, log.clone()).await?;
        let crash_file = open_crash_file(&settings)?;
        let now = Instant::now();
        let mut crashes = CrashReports::default();
        match crash_file.read().await {
            Ok(saved) => drop(crashes.merge(&saved, now)),
            Err(error) => warn!(log, "failed to read saved crash reports"; "error" => %error),
        }
        let state = Arc::new(ControlState {
            registry: Registry::new(now).with_max_region_shift(settings.max_region_shift),
            list: watch::Sender::default(),
            list_history: ListHistory::default(),
            start: rand::random(),
            crashes: Mutex::new(crashes),
            crashes_unsaved: Notify::new(),
            crash_queue: CrashQueue::default(),
            reports: Mutex::default(),
            speeds: Mutex::default(),
            customers: CustomerBank::new(settings.quota_settings()),
            metrics: NodeMetrics::new(),
            settings,
            log,
            replica,
            names,
            client,
        });
        let saved_reports = state.crashes.lock().expect("no holder panics").len();
        let handler = Arc::new(RpcHandler::new(state.clone()));
        let server = HttpServer::bind(own_address, handler).await?;
        let pages = match state.settings.metrics_address {
            Some(address) => Some(PageHandler::metrics(address, state.metrics.clone()).await?),
            None => None,
        };
        let socket = UdpSocket::bind(own_address)
            .await
            .map_err(|source| DaemonError::Bind {
                address: own_address,
                source,
            })?;
        let mut tasks = JoinSet::new();
        tasks.spawn(receive_presence(state.clone(), socket));
        tasks.spawn(list_refresher::run(state.clone(), source));
        tasks.spawn(follow_leader(state.clone()));
        tasks.spawn(show_spread(state.clone()));
        tasks.spawn(crash_file::keep(state.clone(), crash_file));
        tasks.spawn(crash_sender::run(state.clone(), state.client.clone()));
        info!(state.log, "control instance started"; "address" => own_address.to_string(),
            "first_start" => state.settings.first_start, "crash_reports" => saved_reports);
        Ok(Self {
            state,
            server,
            _pages: pages,
            tasks,
        })
    }

    /// Returns a handle to the instance.
    pub fn handle(&self) -> ControlHandle {
        ControlHandle {
            state: self.state.clone(),
        }
    }

    /// Transfers leadership if it holds it, and stops all tasks.
    pub async fn stop(mut self) {
        info!(self.state.log, "control instance stops");
        self.state.replica.stop().await;
        self.server.stop(DRAIN_TIMEOUT).await;
        self.tasks.abort_all();
    }
}

impl ControlHandle {
    /// Submits an operator's change and waits for its outcome.
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
            Ok(outcome) => submit_outcome(outcome),
            Err(_) => Submitted::Unknown {
                reason: format!("no commit within {} ms", SUBMIT_TIMEOUT.as_millis()),
            },
        };
        info!(self.state.log, "change answered"; "command" => command_id.to_string(),
            "change" => truncated(&text), "outcome" => format!("{outcome:?}"));
        self.state.metrics.count_change(&outcome);
        outcome
    }

    /// Returns the newest configuration, or `None` if the replica cannot confirm that it is the
    /// newest.
    pub async fn configuration(&self) -> Option<Arc<Configuration>> {
        let confirmed = self.state.replica.read_configuration().await;
        confirmed.is_confirmed.then_some(confirmed.configuration)
    }

    /// Returns the addresses of entry instances for a caller in a region and zone, nearest first.
    pub fn resolve(&self, region: &str, zone: &str, caller: IpAddr) -> Vec<SocketAddr> {
        let registry = &self.state.registry;
        registry.resolve(region, zone, caller, Instant::now())
    }

    /// Returns the log of the process.
    pub fn log(&self) -> &Logger {
        &self.state.log
    }
}

fn submit_outcome(outcome: Result<laburnumdeal_control::Committed, SubmitError>) -> Submitted {
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

fn open_crash_file(settings: &NodeSettings) -> Result<CrashFile, DaemonError> {
    let folder = settings.data_folder.as_ref();
    let folder = folder.ok_or(DaemonError::NoDataFolder)?;
    CrashFile::open(folder).map_err(|source| DaemonError::DataFolder {
        folder: folder.clone(),
        source,
    })
}

fn replica_settings(
    settings: &NodeSettings,
    names: &Arc<InstanceNames>,
) -> Result<ReplicaSettings, DaemonError> {
    let folder = settings.data_folder.as_ref();
    let folder = folder.ok_or(DaemonError::NoDataFolder)?;
    let id = |address: SocketAddr| {
        names
            .id(&address.to_string())
            .ok_or(DaemonError::NoDataFolder)
    };
    let own_id = id(settings.peer_address(settings.address))?;
    let mut seeds = Vec::new();
    for seed in &settings.seeds {
        seeds.push(id(settings.peer_address(*seed))?);
    }
    let topology = Arc::new(topology(settings));
    let mut replica = ReplicaSettings::new(own_id, seeds, folder, topology);
    replica.names = names.clone();
    replica.region.clone_from(&settings.region);
    replica.heartbeat_interval_ms = HEARTBEAT_INTERVAL_MS;
    replica.election_timeout_ms = ELECTION_TIMEOUT_MS;
    replica.lease_ms = LEASE_MS;
    replica.auto_membership = Some(AutoMembershipSettings {
        may_bootstrap: settings.first_start,
        target_voters: VOTERS.max(2 * settings.machines_lost + 1),
        machines_lost: settings.machines_lost,
        ..AutoMembershipSettings::default()
    });
    Ok(replica)
}

/// Builds a topology of the zones and regions in the settings. It has no instances and upstreams:
/// they are discovered while the process runs.
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

/// Receives presence datagrams of entry instances and records them.
async fn receive_presence(state: Arc<ControlState>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_PRESENCE_BYTES];
    loop {
        let received = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => Announcement::decode(&buffer[..length]),
            Err(error) => {
                warn!(state.log, "failed to receive a presence datagram"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        match received {
            Ok(announcement) => {
                let presence = &announcement.presence;
                let (name, new_state) = (presence.instance.clone(), presence.state);
                if state.registry.record(announcement, Instant::now()) {
                    info!(state.log, "entry instance changed state"; "entry" => name,
                        "state" => %new_state);
                }
            }
            Err(error) => warn!(state.log, "invalid presence datagram"; "error" => %error),
        }
    }
}

/// Logs each change of the leader of the change log, and whether there is one as a metric. Tells the
/// bank of customers' quotas while this instance leads.
async fn follow_leader(state: Arc<ControlState>) {
    let mut previous = None;
    loop {
        let leader = state
            .replica
            .leader_name()
            .filter(|_| state.replica.has_live_leader());
        if leader != previous {
            info!(state.log, "change log leader changed";
                "leader" => leader.clone().unwrap_or_else(|| "none".to_owned()));
        }
        state.metrics.set_led(leader.is_some());
        if let Some(proof) = state.replica.leader_proof() {
            state.customers.lead(proof);
        }
        previous = leader;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Shows the parts of the callers that are sent to other regions as a metric, and logs when the first
/// callers of a region are sent elsewhere and when all stay again.
async fn show_spread(state: Arc<ControlState>) {
    let mut away = BTreeSet::new();
    loop {
        for (region, part) in state.registry.spread() {
            let percent = (part * 100.0).round() as i64;
            state.metrics.set_callers_away(region.clone(), percent);
            let was_away = away.contains(&region);
            if percent > 0 && !was_away {
                info!(state.log, "callers are sent to other regions"; "region" => &region);
                away.insert(region);
            } else if part == 0.0 && was_away {
                info!(state.log, "callers stay in their region again"; "region" => &region);
                away.remove(&region);
            }
        }
        tokio::time::sleep(SPREAD_SHOWN_INTERVAL).await;
    }
}

fn new_command_id() -> CommandId {
    let number: u128 = rand::random();
    let id = format!("{number:032x}").parse();
    id.expect("hexadecimal digits are a command id")
}

fn truncated(text: &str) -> String {
    const MAX_CHARS: usize = 160;
    text.chars().take(MAX_CHARS).collect()
}
