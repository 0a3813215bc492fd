//! Watches a version come into force on every instance.

use std::time::Duration;

use laburnumdeal_model::{InstanceId, Version};
use tokio::time::Instant;

use crate::state::State;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// How far a version has come, by names of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Instances on which the version, or a later one, is in force.
    pub in_force: Vec<String>,
    /// Instances that were silent for longer than a configuration lease: they start no shift.
    pub fenced: Vec<String>,
    /// Instances that have not said anything recent and are not fenced yet.
    pub unreachable: Vec<String>,
}

/// Returns once the version is in force or fenced everywhere, or after `most`.
pub async fn wait(state: &State, version: Version, most: Duration) -> Spread {
    let until = Instant::now() + most;
    loop {
        let spread = look(state, version);
        if spread.unreachable.is_empty() || Instant::now() >= until {
            return spread;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn look(state: &State, version: Version) -> Spread {
    let mut spread = Spread::default();
    for id in state.topology.instance_ids() {
        let name = state.topology.instance(id).name.clone();
        match standing(state, id, version) {
            Standing::InForce => spread.in_force.push(name),
            Standing::Fenced => spread.fenced.push(name),
            Standing::Unreachable => spread.unreachable.push(name),
        }
    }
    spread
}

enum Standing {
    InForce,
    Fenced,
    Unreachable,
}

fn standing(state: &State, id: InstanceId, version: Version) -> Standing {
    if id == state.me {
        return match state.configuration.version() >= version {
            true => Standing::InForce,
            false => Standing::Unreachable,
        };
    }
    let lease = Duration::from_millis(state.settings.lease_ms);
    let heard_at = state.membership.last_heard_at(id);
    let is_in_force = state
        .membership
        .last_heartbeat(id)
        .is_some_and(|beat| beat.version >= version);
    if is_in_force {
        Standing::InForce
    } else if heard_at.is_none_or(|at| at.elapsed() > lease) && state.uptime() > lease {
        Standing::Fenced
    } else {
        Standing::Unreachable
    }
}
