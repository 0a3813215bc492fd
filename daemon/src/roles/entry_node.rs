use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::daemon_error::DaemonError;
use crate::http_server::HttpServer;
use crate::roles::entry_state::EntryState;
use crate::roles::follower;
use crate::roles::forward_handler::ForwardHandler;
use crate::roles::known_controls::KnownControls;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::page_handler::PageHandler;
use crate::roles::report_exchange;
use crate::roles::rpc_client::RpcClient;
use crate::roles::{HeaderCodec, NodeSettings, Presence, PresenceState};

/// Time between two datagrams that tell control instances of this one.
const PRESENCE_EVERY: Duration = Duration::from_millis(500);

/// Control instances that are followed at the same time.
const FOLLOWED: usize = 2;

/// Part of the time to stop in which callers that know this instance are still served.
const SERVED_ON: f64 = 0.6;

/// Time before the end of the time to stop at which the process ends.
const STOP_MARGIN: Duration = Duration::from_millis(200);

/// Running entry instance.
pub struct EntryNode {
    state: Arc<EntryState>,
    server: HttpServer,
    _pages: Vec<HttpServer>,
    tasks: JoinSet<()>,
    presence: Arc<PresenceTask>,
}

impl EntryNode {
    /// Starts an entry instance.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be listened on.
    pub async fn spawn<H: HeaderCodec>(
        settings: NodeSettings,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let address = settings
            .caller_address
            .ok_or(DaemonError::NoCallerAddress)?;
        let metrics = NodeMetrics::new();
        let state = Arc::new(EntryState::new(settings, log, metrics.clone()));
        let seeds = state.settings.seeds.iter();
        let seeds: Vec<SocketAddr> = seeds
            .map(|seed| state.settings.peer_address(*seed))
            .collect();
        let controls = Arc::new(KnownControls::new(seeds));
        let handler = Arc::new(ForwardHandler::<H>::new(state.clone()));
        let server = HttpServer::bind(address, handler).await?;
        let mut pages = Vec::new();
        if let Some(address) = state.settings.readiness_address {
            let asked = state.clone();
            pages.push(PageHandler::bind(address, move || readiness(&asked)).await?);
        }
        if let Some(address) = state.settings.metrics_address {
            pages.push(PageHandler::metrics(address, metrics).await?);
        }
        let presence =
            Arc::new(PresenceTask::open(state.clone(), controls.clone(), address).await?);
        let mut tasks = JoinSet::new();
        let client = RpcClient::default();
        for place in 0..FOLLOWED {
            let (state, controls) = (state.clone(), controls.clone());
            tasks.spawn(follower::run(
                state,
                controls,
                client.clone(),
                place,
                FOLLOWED,
            ));
        }
        tasks.spawn(report_exchange::run(
            state.clone(),
            controls.clone(),
            client,
        ));
        let told = presence.clone();
        tasks.spawn(async move { told.run().await });
        info!(state.events.rare(), "entry instance started"; "address" => address.to_string());
        Ok(Self {
            state,
            server,
            _pages: pages,
            tasks,
            presence,
        })
    }

    /// Takes over the control instances that new settings name.
    pub fn reload(&self, settings: &NodeSettings) {
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| settings.peer_address(*seed));
        self.presence.controls.reseed(seeds.collect());
    }

    /// Serves on while callers may still know this instance, then finishes what is in progress.
    pub async fn stop(mut self) {
        let all = Duration::from_millis(self.state.settings.stop_ms);
        let stops_at = Instant::now() + all - STOP_MARGIN.min(all);
        info!(self.state.events.rare(), "entry instance stops"; "within_ms" => all.as_millis() as u64);
        self.state.leave();
        self.presence.tell().await;
        sleep_until(Instant::now() + all.mul_f64(SERVED_ON)).await;
        let left = stops_at.saturating_duration_since(Instant::now());
        self.server.stop(left).await;
        self.tasks.abort_all();
        info!(self.state.events.rare(), "entry instance stopped");
    }
}

fn readiness(state: &EntryState) -> (StatusCode, String) {
    let presence = state.presence();
    let status = match presence {
        PresenceState::Ready => StatusCode::OK,
        PresenceState::Starting | PresenceState::Leaving => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{presence}\n"))
}

/// Tells every control instance of this one.
struct PresenceTask {
    state: Arc<EntryState>,
    controls: Arc<KnownControls>,
    socket: UdpSocket,
    caller_address: SocketAddr,
    boot_ms: u64,
    sequence: std::sync::atomic::AtomicU64,
}

impl PresenceTask {
    async fn open(
        state: Arc<EntryState>,
        controls: Arc<KnownControls>,
        caller_address: SocketAddr,
    ) -> Result<Self, DaemonError> {
        let address = SocketAddr::new(state.settings.address, 0);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| DaemonError::Bind { address, source })?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            boot_ms: since.map_or(0, |since| since.as_millis() as u64),
            state,
            controls,
            socket,
            caller_address,
            sequence: Default::default(),
        })
    }

    async fn run(&self) {
        loop {
            self.tell().await;
            tokio::select! {
                () = self.state.readiness.notified() => {}
                () = sleep(PRESENCE_EVERY) => {}
            }
        }
    }

    async fn tell(&self) {
        let settings = &self.state.settings;
        let order = std::sync::atomic::Ordering::Relaxed;
        let presence = Presence {
            instance: settings.instance.clone(),
            caller_address: self.caller_address,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            state: self.state.presence(),
            boot_ms: self.boot_ms,
            sequence: self.sequence.fetch_add(1, order),
        };
        let bytes = rmp_serde::to_vec(&presence).expect("plain data encodes");
        for control in self.controls.all() {
            if let Err(error) = self.socket.send_to(&bytes, control).await
                && let Some(log) = self.state.events.line(true)
            {
                warn!(log, "a datagram could not be sent"; "control" => control.to_string(),
                    "error" => %error);
            }
        }
    }
}
