use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::incoming_body::IncomingBody;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use laburnumdeal_control::ControlReply;
use laburnumdeal_model::Configuration;
use laburnumdeal_policy::steer::{CrashReport, SharedReport, SharedSpeed};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use crate::answer_body::AnswerBody;
use crate::http_server::HttpHandler;
use crate::packing::{pack, unpack};
use crate::roles::control_node::ControlState;
use crate::roles::control_record::ControlRecord;
use crate::roles::crash_exchange::CrashPosition;
use crate::roles::customer_message::{CustomerReply, CustomerRequest};
use crate::roles::follow_message::{Call, FollowRequest, Reply, ReportRequest};
use crate::roles::follow_reply::FollowReply;
use crate::roles::known_list::KnownList;
use crate::roles::list_update::ListUpdate;
use crate::roles::{ConfigurationUpdate, SpeedRequest, UpstreamList};

/// Longest message that is accepted.
const MAX_CALL_BYTES: usize = 32 * 1024 * 1024;

/// Limit on the wait of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Interval of checks for updates that no channel announces: the roster and crash reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a connection to an upstream that an entry instance cannot connect to; shorter than the
/// time for which that waits for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a question that is passed on to the leader; shorter than that of the entry instance.
const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

/// Time by which instances that may hold a share of a quota are looked for beyond its length: two
/// announcements may be lost.
const ROSTER_MARGIN: Duration = Duration::from_millis(1_500);

/// Handles messages from other instances.
pub(super) struct RpcHandler {
    state: Arc<ControlState>,
}

impl RpcHandler {
    pub fn new(state: Arc<ControlState>) -> Self {
        Self { state }
    }

    async fn dispatch(&self, call: Call, peer: SocketAddr) -> Reply {
        match call {
            Call::Control { from, request } => match self.state.names.id(&from) {
                Some(from) => Reply::Control(self.state.replica.handle(from, request).await),
                None => Reply::Control(ControlReply::Failed),
            },
            Call::Follow(request) => Reply::Follow(Box::new(self.follow(request, peer).await)),
            Call::Report(request) => Reply::Report(self.exchange_reports(&request)),
            Call::Crashes {
                reports,
                is_relayed,
            } => {
                let new = self.state.add_crashes(&reports, peer.ip());
                // One hop reaches all control instances.
                if !is_relayed {
                    self.state.crash_queue.add(new);
                }
                Reply::Crashes
            }
            Call::Probe(upstream) => Reply::Probe(self.probe(upstream).await),
            Call::Customers(request) => Reply::Customers(self.customers(request).await),
            Call::Speeds(request) => Reply::Speeds(self.exchange_speeds(&request)),
        }
    }

    /// Answers a question on customers if this instance leads, or passes it on to the leader.
    async fn customers(&self, request: CustomerRequest) -> Option<CustomerReply> {
        let ControlState {
            customers,
            replica,
            registry,
            ..
        } = &*self.state;
        let proof = || replica.leader_proof();
        // One that has been silent for longer holds nothing.
        let within = self.state.settings.quota_settings().charge_length() + ROSTER_MARGIN;
        let roster = || registry.known_names(within, Instant::now());
        if let Some(reply) = customers.answer(&request, proof, roster) {
            return Some(reply);
        }
        let leader = replica.leader_name().and_then(|name| name.parse().ok());
        let leader: SocketAddr = leader.filter(|_| !request.is_relayed)?;
        if leader == self.state.own_address() {
            return None;
        }
        let call = Call::Customers(CustomerRequest {
            is_relayed: true,
            ..request
        });
        match self.state.client.call(leader, &call, RELAY_TIMEOUT).await {
            Ok(Reply::Customers(reply)) => reply,
            Ok(_) | Err(_) => None,
        }
    }

    /// Returns whether an upstream can be connected to; `None` if it is not listed.
    async fn probe(&self, upstream: SocketAddr) -> Option<bool> {
        let list = self.state.list.borrow().clone();
        let is_listed = list.records.iter().any(|record| record.address == upstream);
        if !is_listed {
            return None;
        }
        let connecting = TcpStream::connect(upstream);
        let connected = tokio::time::timeout(PROBE_TIMEOUT, connecting).await;
        Some(connected.is_ok_and(|connected| connected.is_ok()))
    }

    fn exchange_reports(&self, request: &ReportRequest) -> SharedReport {
        let now = Instant::now();
        let mut store = self.state.reports.lock().expect("no holder panics");
        let recent = store.received_within(Duration::from_millis(request.window_ms), now);
        store.merge(&request.report, now);
        recent
    }

    fn exchange_speeds(&self, request: &SpeedRequest) -> Vec<SharedSpeed> {
        let now = Instant::now();
        let mut store = self.state.speeds.lock().expect("no holder panics");
        store.merge(&request.speeds, now);
        store.told_within(Duration::from_millis(request.window_ms), now)
    }

    /// Replies as soon as there is an update for the sender, or when its wait is over.
    async fn follow(&self, request: FollowRequest, peer: SocketAddr) -> FollowReply {
        let now = Instant::now();
        let known_list = KnownList::new(&request, now);
        let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
        let mut configuration = self.state.replica.watch();
        let mut list = self.state.list.subscribe();
        self.state.add_crashes(&request.crashes, peer.ip());
        loop {
            let is_timed_out = now.elapsed() >= wait;
            if is_timed_out || self.has_updates(&request, known_list) {
                return self.reply(&request, known_list);
            }
            let check_at = (Instant::now() + CHECK_INTERVAL).min(now + wait);
            tokio::select! {
                _ = configuration.changed() => {}
                _ = list.changed() => {}
                () = sleep_until(check_at) => {}
            }
        }
    }

    fn has_updates(&self, request: &FollowRequest, known_list: KnownList) -> bool {
        let version = self.state.replica.watch().borrow().version;
        let has_newer_version = request.version.is_some_and(|known| version > known);
        let list = self.state.list.borrow();
        let roster = self.state.registry.roster(Instant::now());
        let roster_hash = roster.map_or(request.roster_hash, |(hash, _)| hash);
        has_newer_version
            || known_list.is_outdated_by(&list)
            || (request.roster_hash != 0 && roster_hash != request.roster_hash)
            || self.has_new_crashes(request)
    }

    fn reply(&self, request: &FollowRequest, known_list: KnownList) -> FollowReply {
        let now = Instant::now();
        let newest = self.state.replica.watch().borrow().clone();
        let list = self.state.list.borrow().clone();
        let roster = self.state.registry.roster(now);
        let (crash_position, crashes) = self.crashes_after(request.crash_position, now);
        let members = self.state.replica.members().into_iter();
        let controls = members.map(|member| ControlRecord {
            address: member.instance,
            region: member.region,
        });
        FollowReply {
            is_led: self.state.replica.has_live_leader(),
            version: newest.version,
            configuration: self.configuration_update(request, &newest),
            list_age_ms: list.age(now).map(|age| age.as_millis() as u64),
            list_hash: list.hash,
            list: self.list_update(request, known_list, &list),
            roster: roster.filter(|(hash, _)| *hash != request.roster_hash),
            controls: controls.collect(),
            crash_position,
            crashes,
        }
    }

    /// Returns whether there are crash reports for the sender. Without a leader they wait: the
    /// sender would leave this instance on the reply, instead of waiting for the configuration.
    fn has_new_crashes(&self, request: &FollowRequest) -> bool {
        let known = request.crash_position;
        self.crash_position() != known
            && !self.crashes_after(known, Instant::now()).1.is_empty()
            && self.state.replica.has_live_leader()
    }

    fn crash_position(&self) -> CrashPosition {
        let crashes = self.state.crashes.lock().expect("no holder panics");
        CrashPosition {
            start: self.state.start,
            revision: crashes.revision(),
        }
    }

    fn crashes_after(
        &self,
        known: CrashPosition,
        now: Instant,
    ) -> (CrashPosition, Vec<CrashReport>) {
        let crashes = self.state.crashes.lock().expect("no holder panics");
        let position = CrashPosition {
            start: self.state.start,
            revision: crashes.revision(),
        };
        let is_known = known.start == position.start;
        let revision = if is_known { known.revision } else { 0 };
        (position, crashes.changed_after(revision, now))
    }

    fn configuration_update(
        &self,
        request: &FollowRequest,
        newest: &Configuration,
    ) -> ConfigurationUpdate {
        match request.version {
            Some(known) if request.contents => {
                let changes = |known| self.state.replica.changes_since(known);
                ConfigurationUpdate::since(known, newest, changes)
            }
            _ => ConfigurationUpdate::Same,
        }
    }

    fn list_update(
        &self,
        request: &FollowRequest,
        known: KnownList,
        list: &UpstreamList,
    ) -> ListUpdate {
        if !request.contents || !known.is_outdated_by(list) {
            return ListUpdate::HashOnly;
        }
        match self.state.list_history.changes_since(known.hash, list) {
            Some(changes) => ListUpdate::Changes(changes),
            None => ListUpdate::Whole(list.records.to_vec()),
        }
    }
}

impl HttpHandler for RpcHandler {
    async fn handle(
        &self,
        request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let body = Limited::new(request.into_body(), MAX_CALL_BYTES);
        let Ok(body) = body.collect().await else {
            return bad_request("the message broke off");
        };
        let call = match unpack(&body.to_bytes(), MAX_CALL_BYTES) {
            Ok(call) => call,
            Err(error) => return bad_request(&error.to_string()),
        };
        let reply = self.dispatch(call, peer).await;
        let bytes = pack(&reply).expect("replies are plain data");
        Response::new(AnswerBody::whole(bytes))
    }
}

fn bad_request(reason: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(reason.to_owned()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
