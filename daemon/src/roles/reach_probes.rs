//! Probes of upstreams by connections: whether this instance is partitioned from all of them, and
//! whether the neighbors of one that cannot be connected to can.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use laburnumdeal_policy::steer::{ReachChange, UpstreamKey};
use slog::{info, warn};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use crate::roles::crash_checks;
use crate::roles::entry_state::EntryState;

/// Timeout of a connection that probes an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Limit on the upstreams that are probed at once.
const MAX_PROBED: usize = 8;

/// Interval between probes while no upstream is reached.
const INTERVAL: Duration = Duration::from_millis(250);

/// Records that an upstream could not be connected to, and probes others if it is not the only one.
pub(super) fn record_failed(state: &Arc<EntryState>, upstream: UpstreamKey) {
    let should_probe = state.reach().record_failed(upstream, Instant::now());
    if let (true, Ok(runtime)) = (should_probe, Handle::try_current()) {
        runtime.spawn(run(state.clone()));
    }
}

/// Returns whether one of the neighbors of an upstream can be connected to, or it has none. If none
/// can, they share the cause, such as a partition.
pub(super) async fn has_reachable_neighbor(state: &EntryState, upstream: UpstreamKey) -> bool {
    let neighbors = state.load_balancer().neighbors(upstream, &mut rand::rng());
    neighbors.is_empty() || is_any_reached(state, &neighbors).await
}

/// Probes upstreams until one is reached.
async fn run(state: Arc<EntryState>) {
    loop {
        let mut sample = state.load_balancer().sample(&mut rand::rng());
        sample.truncate(MAX_PROBED);
        let is_reached = is_any_reached(&state, &sample).await;
        if !record_probe(&state, sample.len(), is_reached) {
            return;
        }
        sleep(INTERVAL).await;
    }
}

/// Records the result of a probe; returns whether upstreams must be probed again.
fn record_probe(state: &EntryState, probed: usize, is_reached: bool) -> bool {
    let now = Instant::now();
    let (change, lost_for, is_lost) = {
        let mut reach = state.reach();
        let lost_for = reach.lost_for(now).unwrap_or_default();
        let change = reach.record_probe(probed, usize::from(is_reached), now);
        (change, lost_for, reach.is_lost())
    };
    state.metrics.set_reaches_upstreams(!is_lost);
    match change {
        ReachChange::Lost => {
            // What these attempts were at did not necessarily end.
            crash_checks::forget_undecided(state);
            let helpers = state.helpers().count();
            warn!(state.log.unlimited(), "no upstream can be reached"; "probed" => probed,
                "helpers" => helpers);
        }
        ReachChange::Regained => {
            state.load_balancer().end_partition();
            // Connections from before may be silent for good.
            state.retire_connections(now);
            info!(state.log.unlimited(), "upstreams can be reached again";
                "after_ms" => lost_for.as_millis() as u64);
        }
        ReachChange::Unchanged => {}
    }
    is_lost
}

/// Returns whether one of several upstreams can be connected to, as soon as one can.
async fn is_any_reached(state: &EntryState, upstreams: &[UpstreamKey]) -> bool {
    let probed = upstreams.iter().take(MAX_PROBED);
    let addresses: Vec<_> = {
        let load_balancer = state.load_balancer();
        probed.map(|key| load_balancer.endpoint(*key).1).collect()
    };
    let connecting = |address| async move {
        let connecting = state.dialer.connect(address);
        let connected =
            tokio::time::timeout(state.link.patience(CONNECT_TIMEOUT), connecting).await;
        connected.is_ok_and(|connected| connected.is_ok())
    };
    let mut probes: FuturesUnordered<_> = addresses.into_iter().map(connecting).collect();
    while let Some(is_reached) = probes.next().await {
        if is_reached {
            return true;
        }
    }
    false
}
