//! Tracks the rollout of a configuration version to every instance.

use std::time::Duration;

use laburnumdeal_model::{InstanceId, Version};
use tokio::time::Instant;

use crate::state::State;

/// Time between two checks of the rollout.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Rollout of a version, as names of instances by their status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Instances on which the version or a later one is in force.
    pub in_force: Vec<String>,
    /// Instances not heard from for longer than a configuration lease: they start no shift.
    pub fenced: Vec<String>,
    /// Instances that have not reported the version and are not fenced yet.
    pub unreachable: Vec<String>,
}

/// Returns once every instance has the version in force or is fenced, or after `timeout`.
pub async fn wait_until_in_force(
    state: &State,
    version: Version,
    timeout: Duration,
) -> RolloutStatus {
    let deadline = Instant::now() + timeout;
    loop {
        let status = rollout_status(state, version);
        if status.unreachable.is_empty() || Instant::now() >= deadline {
            return status;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn rollout_status(state: &State, version: Version) -> RolloutStatus {
    let mut status = RolloutStatus::default();
    for id in state.topology.instance_ids() {
        let name = state.topology.instance(id).name.clone();
        match instance_status(state, id, version) {
            InstanceStatus::InForce => status.in_force.push(name),
            InstanceStatus::Fenced => status.fenced.push(name),
            InstanceStatus::Unreachable => status.unreachable.push(name),
        }
    }
    status
}

enum InstanceStatus {
    InForce,
    Fenced,
    Unreachable,
}

fn instance_status(state: &State, id: InstanceId, version: Version) -> InstanceStatus {
    if id == state.own_id {
        return match state.configuration.version() >= version {
            true => InstanceStatus::InForce,
            false => InstanceStatus::Unreachable,
        };
    }
    let lease = Duration::from_millis(state.settings.lease_ms);
    let heard_at = state.membership.last_heard_at(id);
    let is_in_force = state
        .membership
        .last_heartbeat(id)
        .is_some_and(|heartbeat| heartbeat.version >= version);
    if is_in_force {
        InstanceStatus::InForce
    } else if heard_at.is_none_or(|at| at.elapsed() > lease) && state.uptime() > lease {
        InstanceStatus::Fenced
    } else {
        InstanceStatus::Unreachable
    }
}
