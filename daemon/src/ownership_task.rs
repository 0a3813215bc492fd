//! Keeps the set of upstreams that this instance owns up to date with membership and configuration.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_model::{InstanceId, UpstreamId, WHOLE_PERMILLE};
use laburnumdeal_policy::{OwnedUpstream, Ownership, TakeOver, UpstreamHandOver};
use slog::info;
use tokio::time::Instant;

use crate::configuration_view::InForce;
use crate::leaving_upstreams::LeavingUpstreams;
use crate::state::State;

/// Time between two looks at membership when nothing tells of a change.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time for which a hand-over waits for the membership change that it belongs to.
const HAND_OVER_KEPT: Duration = Duration::from_secs(30);

/// Upstreams that other instances handed over on a planned stop. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct HandedOver {
    list: Arc<Mutex<Vec<(UpstreamHandOver, Instant)>>>,
}

impl HandedOver {
    /// Adds what an instance handed over.
    pub fn add(&self, from: InstanceId, list: Vec<UpstreamHandOver>) {
        let now = Instant::now();
        let mut known = self.list.lock().expect("no panic while locked");
        known.retain(|(_, at)| now.saturating_duration_since(*at) < HAND_OVER_KEPT);
        known.extend(
            list.into_iter()
                .filter(|h| h.from == from)
                .map(|h| (h, now)),
        );
    }

    fn get(&self) -> Vec<UpstreamHandOver> {
        let known = self.list.lock().expect("no panic while locked");
        known.iter().map(|(hand_over, _)| *hand_over).collect()
    }
}

/// Runs for as long as the process does.
pub async fn run(state: Arc<State>, handed_over: HandedOver, leaving: LeavingUpstreams) {
    let mut changes = state.membership.watch();
    let mut versions = state.configuration.watch();
    let mut ownership: Option<Ownership> = None;
    loop {
        let now = Instant::now();
        let is_thawed = state.membership.tick(now);
        if let Some(in_force) = state.configuration.in_force() {
            let next = match &ownership {
                None => Ownership::of(&state.membership, now),
                Some(known) => known.next(&state.membership, &handed_over.get(), is_thawed, now),
            };
            apply(
                &state,
                &in_force,
                &next,
                &handed_over,
                &leaving,
                ownership.as_ref(),
            );
            state.shares.configure(&in_force.configuration);
            ownership = Some(next);
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = versions.changed() => {}
            () = leaving.changed() => {}
            () = tokio::time::sleep(LOOK_EVERY) => {}
        }
    }
}

fn apply(
    state: &State,
    in_force: &InForce,
    next: &Ownership,
    handed_over: &HandedOver,
    leaving: &LeavingUpstreams,
    before: Option<&Ownership>,
) {
    let owned: Vec<OwnedUpstream> = next
        .owned
        .iter()
        .map(|id| describe(state, in_force, leaving, *id))
        .collect();
    state.pool.configure(Instant::now(), &owned);
    for taken in &next.taken_over {
        assume_all(state, taken);
    }
    let handed: HashMap<UpstreamId, UpstreamHandOver> = handed_over
        .get()
        .into_iter()
        .map(|h| (h.upstream, h))
        .collect();
    for upstream in &next.owned {
        let is_new = before.is_none_or(|known| !known.owns(*upstream));
        if let (true, Some(hand_over)) = (is_new, handed.get(upstream)) {
            assume_handed(state, hand_over);
        }
    }
}

fn describe(
    state: &State,
    in_force: &InForce,
    leaving: &LeavingUpstreams,
    id: UpstreamId,
) -> OwnedUpstream {
    let upstream = state.topology.upstream(id);
    let configuration = &in_force.configuration;
    let service = &state.topology.service(upstream.service).name;
    let is_allowed = configuration.is_allowed(service, &upstream.name);
    // Drains of zones and regions move callers, which the router does; a drain of an upstream
    // moves its work here.
    let target = laburnumdeal_model::Target::Upstream(upstream.name.clone());
    let moved = configuration
        .drains
        .get(&target)
        .map_or(0, |drain| drain.moved_permille);
    OwnedUpstream {
        id,
        service: upstream.service,
        slots: upstream.slots,
        connections: upstream.connections,
        moved_permille: if is_allowed { moved } else { WHOLE_PERMILLE },
        leaving: leaving.is_leaving(id),
    }
}

/// Assumes every slot taken until the deadlines that may be out have passed.
fn assume_all(state: &State, taken: &TakeOver) {
    let upstream = state.topology.upstream(taken.upstream);
    let until = Instant::now() + Duration::from_millis(state.settings.stop_ms);
    state
        .pool
        .assume_taken(taken.upstream, upstream.slots, until);
    info!(state.log, "upstream taken over"; "upstream" => &upstream.name,
        "from" => &state.topology.instance(taken.from).name,
        "after" => taken.departure.to_string());
}

fn assume_handed(state: &State, hand_over: &UpstreamHandOver) {
    let until = Instant::now() + Duration::from_millis(hand_over.longest_deadline_ms);
    let count = u16::try_from(hand_over.in_flight).unwrap_or(u16::MAX);
    state.pool.assume_warm(hand_over.upstream);
    state.pool.assume_taken(hand_over.upstream, count, until);
    info!(state.log, "upstream handed over";
        "upstream" => &state.topology.upstream(hand_over.upstream).name,
        "from" => &state.topology.instance(hand_over.from).name, "in_flight" => count);
}
