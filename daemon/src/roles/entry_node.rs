use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::daemon_error::DaemonError;
use crate::dialer::Dialer;
use crate::http_server::HttpServer;
use crate::roles::crash_sender;
use crate::roles::customer_exchange;
use crate::roles::customer_gauges;
use crate::roles::entry_state::EntryState;
use crate::roles::follower;
use crate::roles::forward_handler::ForwardHandler;
use crate::roles::helper_handler::HelperHandler;
use crate::roles::known_controls::KnownControls;
use crate::roles::node_metrics::NodeMetrics;
use crate::roles::page_handler::PageHandler;
use crate::roles::report_exchange;
use crate::roles::{HeaderCodec, NodeSettings, Presence, PresenceState};

/// Interval between presence datagrams to the control instances.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of control instances that are followed at the same time.
pub(super) const FOLLOWED_CONTROLS: usize = 2;

/// Margin before the end of the stop time by which the process has ended.
const STOP_MARGIN: Duration = Duration::from_millis(200);

/// Time from the deadline of a request until its answer has left, for the end of a planned stop.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Running entry instance.
pub struct EntryNode {
    state: Arc<EntryState>,
    server: HttpServer,
    /// Server of requests from other entry instances.
    helper_server: HttpServer,
    _pages: Vec<HttpServer>,
    tasks: JoinSet<()>,
    presence: Arc<PresenceSender>,
}

impl EntryNode {
    /// Starts an entry instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings have no caller address, or an address cannot be bound.
    pub async fn spawn<H: HeaderCodec>(
        settings: NodeSettings,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        Self::spawn_with_dialer::<H>(settings, Dialer::default(), log).await
    }

    /// Starts an entry instance whose connections to upstreams are opened by `dialer`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings have no caller address, or an address cannot be bound.
    pub async fn spawn_with_dialer<H: HeaderCodec>(
        settings: NodeSettings,
        dialer: Dialer,
        log: Logger,
    ) -> Result<Self, DaemonError> {
        let address = settings
            .caller_address
            .ok_or(DaemonError::NoCallerAddress)?;
        let metrics = NodeMetrics::new();
        let state = Arc::new(EntryState::new(settings, dialer, log, metrics));
        let controls = state.controls.clone();
        let handler = Arc::new(ForwardHandler::<H>::new(state.clone()));
        let window_bytes = state.link.window_bytes();
        let server = HttpServer::bind_with_window(address, handler.clone(), window_bytes).await?;
        let helper_address = state.settings.peer_address(state.settings.address);
        let helper = Arc::new(HelperHandler::new(state.clone(), handler));
        let helper_server = HttpServer::bind(helper_address, helper).await?;
        let mut pages = Vec::new();
        if let Some(address) = state.settings.readiness_address {
            let entry_state = state.clone();
            pages.push(PageHandler::bind(address, move || readiness_page(&entry_state)).await?);
        }
        if let Some(address) = state.settings.metrics_address {
            let entry_state = state.clone();
            pages.push(PageHandler::bind(address, move || metrics_page(&entry_state)).await?);
        }
        let presence =
            Arc::new(PresenceSender::open(state.clone(), controls.clone(), address).await?);
        let mut tasks = JoinSet::new();
        let client = state.client.clone();
        for index in 0..FOLLOWED_CONTROLS {
            let (state, controls) = (state.clone(), controls.clone());
            tasks.spawn(follower::run(
                state,
                controls,
                client.clone(),
                index,
                FOLLOWED_CONTROLS,
            ));
        }
        tasks.spawn(report_exchange::run(
            state.clone(),
            controls.clone(),
            client.clone(),
        ));
        tasks.spawn(customer_exchange::run(state.clone(), client.clone()));
        tasks.spawn(crash_sender::run(state.clone(), client));
        let sender = presence.clone();
        tasks.spawn(async move { sender.run().await });
        info!(state.log.unlimited(), "entry instance started"; "address" => address.to_string());
        Ok(Self {
            state,
            server,
            helper_server,
            _pages: pages,
            tasks,
            presence,
        })
    }

    /// Replaces the seeds by those of reloaded settings; all other settings stay.
    pub fn reload(&self, settings: &NodeSettings) {
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| settings.peer_address(*seed));
        self.presence.controls.set_seeds(seeds.collect());
    }

    /// Announces that the instance leaves and serves new requests while callers may still have its
    /// address, then finishes the requests in progress and stops all tasks. Requests that might last
    /// beyond the stop are refused.
    pub async fn stop(mut self) {
        let stop_time = Duration::from_millis(self.state.settings.stop_ms);
        let serving_time = stop_time.saturating_sub(STOP_MARGIN);
        let stops_at = Instant::now() + serving_time;
        info!(self.state.log.unlimited(), "entry instance stops";
            "within_ms" => stop_time.as_millis() as u64);
        self.state
            .start_leaving(serving_time.saturating_sub(LAST_ANSWER_TIME));
        self.presence.send().await;
        sleep_until(Instant::now() + self.state.settings.serve_time()).await;
        let remaining = stops_at.saturating_duration_since(Instant::now());
        tokio::join!(
            self.server.stop(remaining),
            self.helper_server.stop(remaining)
        );
        self.tasks.abort_all();
        info!(self.state.log.unlimited(), "entry instance stopped");
    }
}

fn metrics_page(state: &EntryState) -> (StatusCode, String) {
    customer_gauges::update(state);
    (StatusCode::OK, state.metrics.render())
}

fn readiness_page(state: &EntryState) -> (StatusCode, String) {
    let presence = state.presence();
    let status = match presence {
        PresenceState::Ready => StatusCode::OK,
        PresenceState::Starting | PresenceState::Leaving => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{presence}\n"))
}

/// Sends presence datagrams to all control instances.
struct PresenceSender {
    state: Arc<EntryState>,
    controls: Arc<KnownControls>,
    socket: UdpSocket,
    caller_address: SocketAddr,
    boot_ms: u64,
    sequence: std::sync::atomic::AtomicU64,
}

impl PresenceSender {
    async fn open(
        state: Arc<EntryState>,
        controls: Arc<KnownControls>,
        caller_address: SocketAddr,
    ) -> Result<Self, DaemonError> {
        let address = SocketAddr::new(state.settings.address, 0);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| DaemonError::Bind { address, source })?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Ok(Self {
            boot_ms: since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64),
            state,
            controls,
            socket,
            caller_address,
            sequence: Default::default(),
        })
    }

    async fn run(&self) {
        loop {
            self.send().await;
            tokio::select! {
                () = self.state.readiness.notified() => {}
                () = sleep(PRESENCE_INTERVAL) => {}
            }
        }
    }

    async fn send(&self) {
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
                && let Some(log) = self.state.log.limited(true)
            {
                warn!(log, "failed to send a presence datagram"; "control" => control.to_string(),
                    "error" => %error);
            }
        }
    }
}
