//! Exchanges the speed of upstreams between the entry instances of a region, through the store of one
//! control instance. Builds that do not know the message refuse it, and are asked again only seldom.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, Reply};
use crate::roles::known_controls::KnownControls;
use crate::roles::rpc_client::{RpcClient, RpcError};
use crate::roles::speed_message::SpeedRequest;
use crate::roles::speed_report::SpeedReport;

/// Minimum and maximum interval between exchanges.
const INTERVAL_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_000));

/// Time by which each entry instance lengthens the interval, which limits the load of control
/// instances.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);

/// Timeout of an exchange.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a control instance is skipped after a failed exchange.
const SKIP_TIME: Duration = Duration::from_secs(3);

/// Time for which one is skipped that does not know the message.
const REFUSED_SKIP_TIME: Duration = Duration::from_secs(30);

/// Exchanges speeds until the process stops, if the settings ask for it.
pub async fn run(state: Arc<EntryState>, controls: Arc<KnownControls>, client: RpcClient) {
    if !state.settings.shares_speed {
        return;
    }
    let mut skipped_until = HashMap::new();
    let mut report = SpeedReport::default();
    let mut previous = None;
    let mut answered_at = Instant::now();
    loop {
        let instances = state.load_balancer().instance_count() as u32;
        let interval =
            (INTERVAL_PER_INSTANCE * instances).clamp(INTERVAL_RANGE.0, INTERVAL_RANGE.1);
        sleep(interval).await;
        report.publish(&state);
        let now = Instant::now();
        skipped_until.retain(|_, until: &mut Instant| *until > now);
        // With the region as salt, all entry instances of a region choose the same control
        // instance, in their region if there is one.
        let region = &state.settings.region;
        let known = controls.nearest_first(region, region);
        let usable = known
            .into_iter()
            .find(|control| !skipped_until.contains_key(control));
        let Some(chosen) = usable else {
            continue;
        };
        // A store that was not asked before is asked for all that it has.
        let window = match previous == Some(chosen) {
            true => now - answered_at + interval,
            false => Duration::MAX,
        };
        match exchange(&state, &client, chosen, window).await {
            Ok(()) => {
                if previous.replace(chosen) != Some(chosen) {
                    info!(state.log.unlimited(), "exchanging speeds of upstreams";
                        "control" => chosen.to_string());
                }
                answered_at = now;
            }
            Err(error) => {
                let skip_time = match error {
                    RpcError::Packing(_) | RpcError::WrongKind => REFUSED_SKIP_TIME,
                    _ => SKIP_TIME,
                };
                skipped_until.insert(chosen, now + skip_time);
                warn!(state.log.unlimited(), "failed to exchange speeds of upstreams";
                    "control" => chosen.to_string(), "error" => error.to_string());
            }
        }
    }
}

async fn exchange(
    state: &EntryState,
    client: &RpcClient,
    chosen: SocketAddr,
    window: Duration,
) -> Result<(), RpcError> {
    let speeds = state.load_balancer().take_speeds(Instant::now());
    let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    let call = Call::Speeds(SpeedRequest { speeds, window_ms });
    let error = match client.call(chosen, &call, REPLY_TIMEOUT).await {
        Ok(Reply::Speeds(speeds)) => {
            let mut load_balancer = state.load_balancer();
            load_balancer.merge_speeds(&speeds, Instant::now());
            return Ok(());
        }
        Ok(_) => RpcError::WrongKind,
        Err(error) => error,
    };
    state.load_balancer().restore_speeds();
    Err(error)
}
