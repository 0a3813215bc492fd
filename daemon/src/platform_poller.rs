//! Polls the platform for its list of instances and upstreams with their states.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::PlatformState;
use serde::Deserialize;
use slog::warn;
use tokio::time::Instant;

use crate::connection_pool::ConnectionPool;
use crate::get_json::get_json;
use crate::leaving_upstreams::LeavingUpstreams;
use crate::state::State;

/// HTTP path of the platform's list.
const LIST_PATH: &str = "/instances";

/// Time between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The platform's list. Names that are not in the topology are ignored.
#[derive(Clone, Debug, Deserialize)]
struct PlatformList {
    instances: Vec<PlatformEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct PlatformEntry {
    name: String,
    state: ListedState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedState {
    Live,
    Leaving,
    Gone,
}

/// Polls the list for as long as the process runs. A failed poll or a malformed list changes
/// nothing.
pub async fn run(state: Arc<State>, address: SocketAddr, leaving: LeavingUpstreams) {
    let pool = ConnectionPool::new(address, 1);
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match get_json::<PlatformList>(&pool, LIST_PATH, POLL_TIMEOUT).await {
            Ok(list) => apply_list(&state, &list, &leaving),
            Err(reason) => {
                warn!(state.log, "could not read the instance list of the platform";
                    "address" => address.to_string(), "reason" => reason.to_string());
            }
        }
    }
}

fn apply_list(state: &State, list: &PlatformList, leaving: &LeavingUpstreams) {
    let mut upstreams = vec![false; state.topology.upstreams.len()];
    let mut instances: Vec<(InstanceId, PlatformState)> = Vec::new();
    for entry in &list.instances {
        if let Some(id) = state.topology.upstream_named(&entry.name) {
            upstreams[id.index()] = entry.state != ListedState::Live;
        } else if let Some(id) = state.topology.instance_named(&entry.name) {
            instances.push((id, platform_state(entry.state)));
        }
    }
    state
        .membership
        .apply_platform_list(&instances, Instant::now());
    leaving.replace(upstreams);
}

fn platform_state(listed: ListedState) -> PlatformState {
    match listed {
        ListedState::Live => PlatformState::Live,
        ListedState::Leaving => PlatformState::Leaving,
        ListedState::Gone => PlatformState::Gone,
    }
}
