//! Exchanges reports on upstreams between the entry instances of a region, through the report store
//! of one control instance. With many entry instances, each one alone gets answers from an upstream
//! too rarely to estimate its load.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, Reply, ReportRequest};
use crate::roles::known_controls::KnownControls;
use crate::roles::room_report::RoomReport;
use crate::roles::rpc_client::RpcClient;

/// Minimum and maximum interval between exchanges.
const INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_000));

/// Time by which each entry instance lengthens the interval, which limits the load of control
/// instances.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);

/// Timeout of an exchange.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a control instance is skipped after a failed exchange.
const SKIP_TIME: Duration = Duration::from_secs(3);

/// Exchanges reports until the process stops.
pub async fn run(state: Arc<EntryState>, controls: Arc<KnownControls>, client: RpcClient) {
    let mut failed = HashMap::new();
    let mut previous = None;
    let mut room_report = RoomReport::default();
    let mut last_exchange_at = Instant::now();
    loop {
        let instances = state.load_balancer().instance_count() as u32;
        let interval =
            (INTERVAL_PER_INSTANCE * instances).clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
        sleep(interval).await;
        room_report.publish(&state);
        failed.retain(|_, failed_at: &mut Instant| failed_at.elapsed() < SKIP_TIME);
        // With the region as salt, all entry instances of a region choose the same control
        // instance, in their region if there is one.
        let region = &state.settings.region;
        let known = controls.nearest_first(region, region);
        let mut usable = known
            .iter()
            .filter(|control| !failed.contains_key(*control));
        let Some(chosen) = usable.next().copied() else {
            continue;
        };
        if previous.replace(chosen) != Some(chosen) {
            info!(state.log.unlimited(), "exchanging reports on upstreams";
                "control" => chosen.to_string());
        }
        let now = Instant::now();
        let report = state.load_balancer().take_report(last_exchange_at, now);
        // Twice the time since the last exchange, so that a failed one leaves no gap.
        let window = (now - last_exchange_at) * 2;
        last_exchange_at = now;
        let request = ReportRequest {
            report,
            window_ms: window.as_millis() as u64,
        };
        match client
            .call(chosen, &Call::Report(request), REPLY_TIMEOUT)
            .await
        {
            Ok(Reply::Report(report)) => {
                state.load_balancer().merge_report(&report, Instant::now())
            }
            Ok(_) => {
                warn!(state.log.unlimited(), "failed to exchange reports on upstreams";
                    "control" => chosen.to_string(), "error" => "reply of another kind");
            }
            Err(error) => {
                warn!(state.log.unlimited(), "failed to exchange reports on upstreams";
                    "control" => chosen.to_string(), "error" => error.to_string());
                failed.insert(chosen, Instant::now());
            }
        }
    }
}
